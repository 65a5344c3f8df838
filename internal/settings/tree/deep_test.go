package tree

import (
	"strings"
	"testing"
)

// A text nests tables or arrays so deep that a parser which follows them runs
// out of stack. The process would end, and with it every request that runs.
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
			t.Errorf("%s: taken", name)
		}
	}
	for name, text := range map[string]string{
		"arrays":  `{"a": ` + strings.Repeat("[", depth),
		"objects": strings.Repeat(`{"a": `, depth/2),
	} {
		if _, err := ParseJSON(RootPath, []byte(text)); err == nil {
			t.Errorf("%s as JSON: taken", name)
		}
	}
}
