package event

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// page is the operators' reference of event numbers.
const page = "../../../docs/EVENTS.md"

// The page must list exactly the events in the code, so that operators can look up
// every number.
func TestCatalogueMatchesPage(t *testing.T) {
	b, err := os.ReadFile(filepath.FromSlash(page))
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]bool{}
	for _, e := range Catalogue() {
		want[Row(e)] = true
	}
	for line := range strings.Lines(string(b)) {
		line = strings.TrimRight(line, "\n")
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| number") || strings.HasPrefix(line, "| ---") {
			continue
		}
		if !want[line] {
			t.Errorf("on the page but not in the code: %s", line)
		}
		delete(want, line)
	}
	for row := range want {
		t.Errorf("missing from %s: %s", page, row)
	}
}

// Row returns the line of docs/EVENTS.md that describes e.
func Row(e Event) string {
	return fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Name, e.Level, e.Meaning)
}
