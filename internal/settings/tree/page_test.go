package tree

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// page is the operators' reference of all settings.
const page = "../../../docs/operators/settings.md"

// row returns the line of the page that describes s.
func row(s Setting) string {
	unit := s.Unit
	if unit == "" {
		unit = s.Type().String()
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s |", s.Name, unit, s.Default, s.Bounds(), kindList(s.Kinds), s.Meaning)
}

// Operators can't find a setting that is missing from the page. A setting that
// is on the page but not in the schema is refused when they use it.
func TestPageListsAllSettings(t *testing.T) {
	b, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, table, ok := strings.Cut(string(b), "| setting |")
	if !ok {
		t.Fatal("the page has no table of settings")
	}
	listed := map[string]bool{}
	for line := range strings.Lines(table) {
		if line = strings.TrimRight(line, "\n"); strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| ---") {
			listed[line] = true
		}
	}
	for _, s := range schema {
		if !listed[row(s)] {
			t.Errorf("missing from the page: %s", row(s))
		}
		delete(listed, row(s))
	}
	for line := range listed {
		t.Errorf("on the page but not in the schema: %s", line)
	}
}
