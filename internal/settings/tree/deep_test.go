package tree

import (
	"strings"
	"testing"
)

// Deeply nested tables or arrays must not exhaust the stack of the parser: that
// would end the process and every running request.
func TestDeepNestingIsRefused(t *testing.T) {
	const depth = 1 << 18
	for name, text := range map[string]string{
		"arrays":        "a = " + strings.Repeat("[", depth),
		"closed arrays": "a = " + strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"inline tables": "a = " + strings.Repeat("{a = ", depth/2),
		"closed tables": "a = " + strings.Repeat("{a = ", depth/4) + "1" + strings.Repeat("}", depth/4),
		"dotted key":    strings.Repeat("a.", depth) + "a = 1",
		"header":        "[" + strings.Repeat("a.", depth) + "a]",
	} {
		if _, err := ParseTOML(RootPath, "deep", []byte(text)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	for name, text := range map[string]string{
		"arrays":  `{"a": ` + strings.Repeat("[", depth),
		"objects": strings.Repeat(`{"a": `, depth/2),
	} {
		if _, err := ParseJSON(RootPath, []byte(text)); err == nil {
			t.Errorf("%s as JSON: accepted", name)
		}
	}
}
