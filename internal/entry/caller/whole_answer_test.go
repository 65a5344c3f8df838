package caller

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Streams with several choices, tool calls and log probabilities are merged into
// the answer of the protocol without streaming.
func TestWholeAnswersMatchGoldenFiles(t *testing.T) {
	for name, p := range map[string]protocol{"chat": chatProtocol, "tools": chatProtocol, "text": textProtocol} {
		stream, err := os.ReadFile(filepath.Join("testdata", name+".stream"))
		if err != nil {
			t.Fatal(err)
		}
		w := newWholeAnswer(p)
		for line := range strings.Lines(string(stream)) {
			if err := w.add([]byte(line)); err != nil {
				t.Fatal(err)
			}
		}
		got, err := json.MarshalIndent(w.body(), "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		golden := filepath.Join("testdata", name+".golden")
		if *update {
			if err := os.WriteFile(golden, append(got, '\n'), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil || string(want) != string(got)+"\n" {
			t.Errorf("%s: got %s, %v", name, got, err)
		}
	}
}
