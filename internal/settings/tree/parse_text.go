package tree

import (
	"encoding/json"
	"strings"
)

// ParseText parses a command-line argument as a value of setting s; key digests are separated by commas.
func ParseText(s Setting, text string) (Value, error) {
	v, err := ParseValue(s.Type(), decodedForm(s.Type(), text))
	if err != nil {
		return v, err
	}
	return v, s.check(v)
}

// decodedForm returns text in the form in which a decoder returns a value of type t.
func decodedForm(t Type, text string) any {
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
