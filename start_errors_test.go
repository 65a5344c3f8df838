package hornbeamwood_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/node/keys"
)

// replaceIn replaces a text in a node file.
func (f *fleet) replaceIn(h *host, old, new string) {
	f.t.Helper()
	b, err := os.ReadFile(h.file)
	if err != nil {
		f.t.Fatal(err)
	}
	if !strings.Contains(string(b), old) {
		f.t.Fatalf("%s does not hold %q", h.file, old)
	}
	f.write(h.file, strings.Replace(string(b), old, new, 1))
}

// fails runs a program that must end by itself and returns its exit code and output.
func fails(t *testing.T, arguments ...string) (int, string) {
	t.Helper()
	p := start(t, strings.Join(arguments[:1], " "), "hornbeamwood", arguments...)
	<-p.ended
	return p.command.ProcessState.ExitCode(), p.output.String()
}

// An operator configures a VM with a file or a folder of another one. The process must
// not start, because it would act in the other's name or damage its state. Its output
// must name the error.
func TestWrongSetupIsAClearError(t *testing.T) {
	f := newFleet(t, 3, 1)
	first, second := f.controls[0], f.controls[1]
	f.startControl(first)
	folder := filepath.Join(f.folder, "data-"+first.name)
	eventually(t, "the data folder exists", func() bool {
		files, err := os.ReadDir(folder)
		return err == nil && len(files) > 0
	})

	t.Run("a data folder in use", func(t *testing.T) {
		f.replaceIn(second, "data-"+second.name, "data-"+first.name)
		if code, out := fails(t, "control", "--settings", second.file); code != 1 || !strings.Contains(out, "data-"+first.name) {
			t.Errorf("exit code %d: %s", code, out)
		}
	})
	f.processes[first.name].stop()
	t.Run("a data folder of another replica", func(t *testing.T) {
		if code, out := fails(t, "control", "--settings", second.file); code != 1 || !strings.Contains(out, first.name) {
			t.Errorf("exit code %d: %s", code, out)
		}
	})
	t.Run("an expired certificate", func(t *testing.T) {
		e := f.entries[0]
		if _, err := f.authority.Issue(keys.Request{Name: e.name, Role: keys.Entry, Valid: time.Nanosecond}, f.folder); err != nil {
			t.Fatal(err)
		}
		if code, out := fails(t, "entry", "--settings", e.file); code != 1 || !strings.Contains(out, "expired") {
			t.Errorf("exit code %d: %s", code, out)
		}
	})
	t.Run("a mistyped key", func(t *testing.T) {
		f.replaceIn(f.entries[0], "region =", "regoin =")
		code, out := fails(t, "entry", "--settings", f.entries[0].file)
		if code != 2 || !strings.Contains(out, fmt.Sprintf("%s:4: regoin", f.entries[0].file)) {
			t.Errorf("exit code %d: %s", code, out)
		}
	})
	t.Run("no settings flag", func(t *testing.T) {
		if code, out := fails(t, "control"); code != 2 || !strings.Contains(out, "--settings") {
			t.Errorf("exit code %d: %s", code, out)
		}
	})
}

// The demo in the README must work on any machine without configuration.
func TestDemoOnce(t *testing.T) {
	p := start(t, "demo", "hornbeamwood", "demo", "--once", "--listen", network()+".1:8080")
	<-p.ended
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d\n%s", code, p.output)
	}
}
