package explain

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// These are the logs that docs/OPERATIONS.md uses. The command named there must
// lead from each of its three requests to the cause.
func TestTimelines(t *testing.T) {
	for _, request := range []string{"5f1c7a20e4", "8b03d94c17", "c26e51f8a9"} {
		var logs [2]*os.File
		for i, name := range []string{"entry-1.log", "entry-2.log"} {
			f, err := os.Open(filepath.Join("testdata", name))
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			logs[i] = f
		}
		s, err := Read(request, logs[0], logs[1])
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if err := s.Write(&got); err != nil {
			t.Fatal(err)
		}
		golden(t, request, got.String())
	}
}

func TestUnknownRequest(t *testing.T) {
	if _, err := Read("nobody", strings.NewReader("not a log line\n{}\n")); !errors.Is(err, ErrUnknownRequest) {
		t.Errorf("got %v", err)
	}
}

// golden compares got with the golden file of that name.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s:\n%s", name, got)
	}
}
