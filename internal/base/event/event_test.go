package event

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// page is where operators look up a number from a log line.
const page = "../../../docs/EVENTS.md"

// An event that is missing from the page, or a page that lists one that no
// longer exists, leaves an operator with a number that means nothing.
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
			t.Errorf("the page lists what the code does not have: %s", line)
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
