package codectest

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var definition = regexp.MustCompile(`(?m)^(?:var |\t)(\w+) += rpc\.(Method|Notice)\[`)

// Guards against a message that is sent between processes without a check that its receiver can read it.
func TestEachMessageIsChecked(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	messages := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range definition.FindAllStringSubmatch(string(text), -1) {
			messages++
			if !tested(t, filepath.Dir(path), m[2], m[1]) {
				t.Errorf("%s: no test calls codectest.%s for %s", path, m[2], m[1])
			}
		}
		return nil
	})
	if err != nil || messages == 0 {
		t.Fatalf("%d messages were found: %v", messages, err)
	}
}

// tested returns whether a test in the folder checks the message.
func tested(t *testing.T, folder, kind, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), "codectest."+kind+"(t, "+name+")") {
			return true
		}
	}
	return false
}
