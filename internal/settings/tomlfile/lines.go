package tomlfile

import (
	"fmt"
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

// LinesOf returns the Lines of a TOML text, up to the first syntax error.
func LinesOf(data []byte) Lines {
	l := Lines{}
	var p unstable.Parser
	p.Reset(data)
	arrays := map[string]int{}
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			prefix = l.add(&p, e, "")
		case unstable.ArrayTable:
			prefix = l.addElement(&p, e, arrays)
		case unstable.KeyValue:
			l.addValue(&p, e, prefix)
		}
	}
	return l
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

func (l Lines) add(p *unstable.Parser, e *unstable.Node, prefix string) string {
	line := 0
	key := prefix
	for it, parts := e.Key(), 0; parts < maxParts && it.Next(); parts++ {
		n := it.Node()
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		key = join(key, string(n.Data))
	}
	if _, ok := l[key]; !ok {
		l[key] = line
	}
	return key
}

func (l Lines) addElement(p *unstable.Parser, e *unstable.Node, arrays map[string]int) string {
	key := l.add(p, e, "")
	line := 0
	for it := e.Key(); it.Next() && line == 0; {
		line = p.Shape(it.Node().Raw).Start.Line
	}
	element := fmt.Sprintf("%s[%d]", key, arrays[key])
	arrays[key]++
	l[element] = line
	return element
}

func (l Lines) addValue(p *unstable.Parser, e *unstable.Node, prefix string) {
	key := l.add(p, e, prefix)
	l.addInline(p, e.Value(), key)
}

func (l Lines) addInline(p *unstable.Parser, v *unstable.Node, key string) {
	if v.Kind != unstable.InlineTable || strings.Count(key, ".") >= maxParts {
		return
	}
	for it := v.Children(); it.Next(); {
		l.addValue(p, it.Node(), key)
	}
}

func join(prefix, part string) string {
	if prefix == "" {
		return part
	}
	return prefix + "." + part
}
