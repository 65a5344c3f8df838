package tree

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// page is where operators look a setting up.
const page = "../../../docs/operators/settings.md"

// row returns the line of the operators' page that describes s.
func row(s Setting) string {
	unit := s.Unit
	if unit == "" {
		unit = s.Type().String()
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s |", s.Name, unit, s.Default, s.Bounds(), kindList(s.Kinds), s.Meaning)
}

// A setting that is missing from the page can't be found by operators; one
// that the page has and the code has not is refused when they use it.
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
		t.Errorf("the page lists what the code has not: %s", line)
	}
}
