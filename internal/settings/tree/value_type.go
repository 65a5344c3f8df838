package tree

// Type is the type of a setting's values.
type Type uint8

const (
	// Int is a whole number.
	Int Type = iota + 1
	// Float is a number.
	Float
	// Bool is true or false.
	Bool
	// Duration is a duration, written like "4s".
	Duration
	// Text is a string.
	Text
	// Digests is a list of key digests, each written as "sha256:" and 64 hexadecimal digits.
	Digests
)

var typeNames = [...]string{
	Int:      "whole number",
	Float:    "number",
	Bool:     "true or false",
	Duration: `duration like "4s"`,
	Text:     "string",
	Digests:  "list of key digests",
}

// String returns the human-readable name of t.
func (t Type) String() string {
	if int(t) >= len(typeNames) {
		return "unknown type"
	}
	return typeNames[t]
}
