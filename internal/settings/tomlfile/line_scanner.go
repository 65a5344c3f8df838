package tomlfile

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineScanner collects the Lines of a text while it is parsed.
type lineScanner struct {
	data   []byte
	parser unstable.Parser
	lines  Lines
	// keyBytes are the bytes of all keys in lines.
	keyBytes int
	arrays   map[string]int
	// line is the line number at offset, from which the line of the next key is counted.
	offset, line int
}

func newLineScanner(data []byte) *lineScanner {
	s := &lineScanner{data: data, lines: Lines{}, arrays: map[string]int{}, line: 1}
	s.parser.Reset(data)
	return s
}

// lineOf returns the line number of a node.
func (s *lineScanner) lineOf(n *unstable.Node) int {
	offset := int(n.Raw.Offset)
	if offset < s.offset {
		s.offset, s.line = 0, 1
	}
	s.line += bytes.Count(s.data[s.offset:offset], []byte{'\n'})
	s.offset = offset
	return s.line
}

// set records a line unless the keys together have become too long.
func (s *lineScanner) set(key string, line int) {
	if s.keyBytes += len(key); s.keyBytes <= maxLinesFactor*len(s.data) {
		s.lines[key] = line
	}
}

// add records the line of a key and returns the key. In a table with a name of more than maxTableBytes it records nothing.
func (s *lineScanner) add(e *unstable.Node, prefix string) string {
	if len(prefix) > maxTableBytes {
		return prefix
	}
	line := 0
	key := prefix
	for it, parts := e.Key(), 0; parts < maxParts && it.Next(); parts++ {
		n := it.Node()
		if line == 0 {
			line = s.lineOf(n)
		}
		key = join(key, string(n.Data))
	}
	if _, ok := s.lines[key]; !ok {
		s.set(key, line)
	}
	return key
}

func (s *lineScanner) addElement(e *unstable.Node) string {
	key := s.add(e, "")
	line := 0
	for it := e.Key(); it.Next() && line == 0; {
		line = s.lineOf(it.Node())
	}
	element := fmt.Sprintf("%s[%d]", key, s.arrays[key])
	s.arrays[key]++
	s.set(element, line)
	return element
}

func (s *lineScanner) addValue(e *unstable.Node, prefix string) {
	s.addInline(e.Value(), s.add(e, prefix))
}

func (s *lineScanner) addInline(v *unstable.Node, key string) {
	if v.Kind != unstable.InlineTable || strings.Count(key, ".") >= maxParts {
		return
	}
	for it := v.Children(); it.Next(); {
		s.addValue(it.Node(), key)
	}
}

func join(prefix, part string) string {
	if prefix == "" {
		return part
	}
	return prefix + "." + part
}
