package tree

import (
	"encoding/json"
	"strings"
)

// ParseText returns the value of setting s that a word of a command line holds; key digests are separated by commas.
func ParseText(s Setting, text string) (Value, error) {
	v, err := ParseValue(s.Type(), wordOf(s.Type(), text))
	if err != nil {
		return v, err
	}
	return v, s.check(v)
}

// wordOf returns text as a decoder of a value of type t would give it.
func wordOf(t Type, text string) any {
	switch t {
	case Int, Float:
		return json.Number(text)
	case Bool:
		switch text {
		case "true":
			return true
		case "false":
			return false
		}
	case Digests:
		list := []any{}
		for d := range strings.SplitSeq(text, ",") {
			if d != "" {
				list = append(list, d)
			}
		}
		return list
	}
	return text
}
