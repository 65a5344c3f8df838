package tree

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"hornbeamwood/internal/settings/digest"
)

// Value is an immutable typed value of a setting.
type Value struct {
	// Type determines which of the other fields has the value.
	Type Type `cbor:"type"`
	// Number is a whole number, a duration in nanoseconds, or 1 for true.
	Number int64 `cbor:"number,omitempty"`
	// Float is a number.
	Float float64 `cbor:"float,omitempty"`
	// Text is a string.
	Text string `cbor:"text,omitempty"`
	// Digests are sorted key digests.
	Digests []digest.Digest `cbor:"digests,omitempty"`
}

// IsZero reports whether v has neither a type nor a value. A negative zero is none, since it isn't encoded either.
func (v Value) IsZero() bool {
	return v.Type == 0 && v.Number == 0 && v.Float == 0 && v.Text == "" && len(v.Digests) == 0
}

// IntValue returns the Value of a whole number.
func IntValue(n int64) Value {
	return Value{Type: Int, Number: n}
}

// FloatValue returns the Value of a number.
func FloatValue(f float64) Value {
	return Value{Type: Float, Float: f}
}

// BoolValue returns the Value of b.
func BoolValue(b bool) Value {
	if b {
		return Value{Type: Bool, Number: 1}
	}
	return Value{Type: Bool}
}

// DurationValue returns the Value of a duration.
func DurationValue(d time.Duration) Value {
	return Value{Type: Duration, Number: int64(d)}
}

// TextValue returns the Value of a string.
func TextValue(s string) Value {
	return Value{Type: Text, Text: s}
}

// DigestsValue returns the Value of a list of key digests.
func DigestsValue(all ...digest.Digest) Value {
	sorted := slices.SortedFunc(slices.Values(all), func(a, b digest.Digest) int {
		return slices.Compare(a[:], b[:])
	})
	return Value{Type: Digests, Digests: sorted}
}

// Bool returns whether v is true.
func (v Value) Bool() bool {
	return v.Number != 0
}

// Duration returns v as a duration.
func (v Value) Duration() time.Duration {
	return time.Duration(v.Number)
}

// Equal reports whether v and o have the same type and value.
func (v Value) Equal(o Value) bool {
	return v.Type == o.Type && v.Number == o.Number && v.Float == o.Float && v.Text == o.Text && slices.Equal(v.Digests, o.Digests)
}

// String returns v as it is written in TOML.
func (v Value) String() string {
	switch d := v.Document().(type) {
	case string:
		return strconv.Quote(d)
	case []string:
		return fmt.Sprintf("%q", d)
	default:
		return fmt.Sprint(d)
	}
}

// Document returns v in the form that the TOML and JSON encoders accept.
func (v Value) Document() any {
	switch v.Type {
	case Int:
		return v.Number
	case Float:
		return v.Float
	case Bool:
		return v.Bool()
	case Duration:
		return formatDuration(v.Duration())
	case Digests:
		all := make([]string, len(v.Digests))
		for i, d := range v.Digests {
			all[i] = d.String()
		}
		return all
	}
	return v.Text
}

// MarshalJSON returns v as it appears in a tree formatted as JSON.
func (v Value) MarshalJSON() ([]byte, error) {
	return json.Marshal(v.Document())
}

// formatDuration formats d without the trailing zero units that the standard library appends.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// ParseValue returns the Value of type t for x, the result of a TOML or JSON decoder.
func ParseValue(t Type, x any) (Value, error) {
	if parse, ok := parsers[t]; ok {
		if v, ok := parse(x); ok {
			return v, nil
		}
	}
	if t == Digests {
		return parseDigests(x)
	}
	return Value{}, fmt.Errorf("a %s is expected, not %v", t, x)
}

var parsers = map[Type]func(any) (Value, bool){
	Int:      parseInt,
	Float:    parseFloat,
	Bool:     parseBool,
	Duration: parseDuration,
	Text:     parseText,
}

func parseInt(x any) (Value, bool) {
	switch n := x.(type) {
	case json.Number:
		i, err := strconv.ParseInt(string(n), 10, 64)
		return IntValue(i), err == nil
	case int64:
		return IntValue(n), true
	case float64:
		return IntValue(int64(n)), n == math.Trunc(n) && math.Abs(n) < 1<<53
	}
	return Value{}, false
}

func parseFloat(x any) (Value, bool) {
	switch n := x.(type) {
	case json.Number:
		f, err := strconv.ParseFloat(string(n), 64)
		return FloatValue(f), err == nil
	case int64:
		return FloatValue(float64(n)), true
	case float64:
		return FloatValue(n), !math.IsNaN(n) && !math.IsInf(n, 0)
	}
	return Value{}, false
}

func parseBool(x any) (Value, bool) {
	b, ok := x.(bool)
	return BoolValue(b), ok
}

func parseDuration(x any) (Value, bool) {
	s, ok := x.(string)
	d, err := time.ParseDuration(s)
	return DurationValue(d), ok && err == nil
}

func parseText(x any) (Value, bool) {
	s, ok := x.(string)
	return TextValue(s), ok
}

func parseDigests(x any) (Value, error) {
	list, ok := x.([]any)
	if !ok {
		return Value{}, fmt.Errorf("a %s is expected, not %v", Digests, x)
	}
	all := make([]digest.Digest, 0, len(list))
	for _, e := range list {
		s, ok := e.(string)
		if !ok {
			return Value{}, fmt.Errorf("a %s is expected, not %v", Digests, x)
		}
		d, err := digest.Parse(s)
		if err != nil {
			return Value{}, err
		}
		if slices.Contains(all, d) {
			return Value{}, fmt.Errorf("the key digest %s stands twice", d)
		}
		all = append(all, d)
	}
	return DigestsValue(all...), nil
}
