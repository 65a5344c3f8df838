package jsonscan

import (
	"bytes"
	"encoding/json"
	"errors"
	"unicode/utf8"
)

// ErrSyntax is returned for text that is not of the expected form.
var ErrSyntax = errors.New("jsonscan: not the expected JSON")

// Members calls visit with the name and the raw value of each member of an object,
// in order, and stops at the first error that visit returns.
func Members(object []byte, visit func(name, value []byte) error) error {
	rest, err := inside(object, '{', '}')
	for err == nil && len(rest) > 0 {
		rest, err = member(rest, visit)
	}
	return err
}

// Elements calls visit with the raw value of each element of an array, in order, and stops at the first error that visit returns.
func Elements(array []byte, visit func(value []byte) error) error {
	rest, err := inside(array, '[', ']')
	for err == nil && len(rest) > 0 {
		var value []byte
		value, rest, err = cutValue(rest)
		if err == nil {
			err = visit(value)
		}
		if err == nil {
			rest, err = skipComma(rest)
		}
	}
	return err
}

// inside returns the text between the brackets.
func inside(text []byte, first, last byte) ([]byte, error) {
	text = bytes.TrimSpace(text)
	if len(text) < 2 || text[0] != first || text[len(text)-1] != last {
		return nil, ErrSyntax
	}
	return bytes.TrimSpace(text[1 : len(text)-1]), nil
}

func member(rest []byte, visit func(name, value []byte) error) ([]byte, error) {
	raw, rest, err := cutValue(rest)
	if err != nil {
		return nil, err
	}
	name, err := Text(raw)
	if err != nil {
		return nil, err
	}
	rest = bytes.TrimLeft(rest, " \t\r\n")
	if len(rest) == 0 || rest[0] != ':' {
		return nil, ErrSyntax
	}
	value, rest, err := cutValue(rest[1:])
	if err != nil {
		return nil, err
	}
	if err := visit(name, value); err != nil {
		return nil, err
	}
	return skipComma(rest)
}

// skipComma returns the text after the comma at the beginning, empty at the end of the text.
func skipComma(rest []byte) ([]byte, error) {
	rest = bytes.TrimLeft(rest, " \t\r\n")
	if len(rest) == 0 {
		return nil, nil
	}
	if rest[0] != ',' || len(rest) == 1 {
		return nil, ErrSyntax
	}
	return rest[1:], nil
}

// cutValue returns the first value and the rest of the text.
func cutValue(text []byte) (value, rest []byte, err error) {
	text = bytes.TrimLeft(text, " \t\r\n")
	if len(text) == 0 {
		return nil, nil, ErrSyntax
	}
	end := 0
	switch text[0] {
	case '"':
		end = stringLength(text)
	case '{', '[':
		end = nestedLength(text)
	default:
		end = bytes.IndexAny(text, ",:]} \t\r\n")
		if end < 0 {
			end = len(text)
		}
	}
	if end <= 0 {
		return nil, nil, ErrSyntax
	}
	return text[:end], text[end:], nil
}

// stringLength returns the length of the string at the beginning, zero if it is not terminated.
func stringLength(text []byte) int {
	at := 1
	for {
		i := bytes.IndexByte(text[at:], '"')
		if i < 0 {
			return 0
		}
		end := at + i
		escapes := 0
		for end-escapes-1 > 0 && text[end-escapes-1] == '\\' {
			escapes++
		}
		at = end + 1
		if escapes%2 == 0 {
			return at
		}
	}
}

// nestedLength returns the length of the object or array at the beginning, zero if it is not terminated.
func nestedLength(text []byte) int {
	depth := 0
	for at := 0; at < len(text); {
		switch text[at] {
		case '"':
			n := stringLength(text[at:])
			if n == 0 {
				return 0
			}
			at += n
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth == 0 {
				return at + 1
			}
		}
		at++
	}
	return 0
}

// Text returns the decoded text of a JSON string. A string without escapes is not copied.
func Text(raw []byte) ([]byte, error) {
	if len(raw) < 2 || raw[0] != '"' || raw[len(raw)-1] != '"' {
		return nil, ErrSyntax
	}
	inner := raw[1 : len(raw)-1]
	if bytes.IndexByte(inner, '\\') < 0 && utf8.Valid(inner) {
		return inner, nil
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, ErrSyntax
	}
	return []byte(s), nil
}
