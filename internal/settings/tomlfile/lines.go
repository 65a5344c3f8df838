package tomlfile

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps dotted keys to the line numbers at which they are set. Elements of
// arrays of tables are numbered from 0, as in "control[1].name".
type Lines map[string]int

// maxParts is the maximum number of parts of a key in Lines; longer keys get the
// line of their first parts. Each part adds another, longer key to Lines, so that
// a malicious text with a key of a million parts would exhaust the memory.
const maxParts = 16

// Bounds of the keys in Lines. A text of many short keys in a table with a long name would otherwise exhaust the memory.
const (
	// maxTableBytes is the longest name of a table whose keys are in Lines.
	maxTableBytes = 1 << 10
	// maxLinesFactor bounds the bytes of all keys, in multiples of the text.
	maxLinesFactor = 8
)

// LinesOf returns the Lines of a TOML text, up to the first syntax error.
func LinesOf(data []byte) Lines {
	s := newLineScanner(data)
	prefix := ""
	for s.parser.NextExpression() {
		e := s.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			prefix = s.add(e, "")
		case unstable.ArrayTable:
			prefix = s.addElement(e)
		case unstable.KeyValue:
			s.addValue(e, prefix)
		}
	}
	return s.lines
}

// Of returns the line of key or else of its nearest enclosing table, and 0 if neither is known.
func (l Lines) Of(key string) int {
	for {
		if n, ok := l[key]; ok {
			return n
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
}
