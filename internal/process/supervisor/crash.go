package supervisor

import (
	"errors"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
)

// Permissions of the crash file and its folder: a report may show data of callers.
const (
	crashFolderMode = 0o700
	crashFileMode   = 0o600
)

// reportCrash logs the crash of the process before, if it left a report, and has the runtime write the next one.
//
// The runtime ends a process after a panic or a fatal error without running any more of its code, so that its last
// queued log lines are lost and the report goes to the standard error output only.
func reportCrash(c Config) {
	if c.CrashFile == "" {
		return
	}
	// A report that can't be read is one that was never written.
	if b, err := os.ReadFile(c.CrashFile); err == nil && len(b) > 0 {
		event.ProcessCrashed.Write(c.Logger, log.Fields{"role": c.Role, "name": c.Name, "error": reason(string(b)), "at": place(string(b))})
	}
	if err := keepReport(c.CrashFile); err != nil {
		event.CrashNotKept.Write(c.Logger, log.Fields{"role": c.Role, "name": c.Name, "error": err.Error()})
	}
}

// keepReport empties the file at path and has the runtime write the report of a crash to it.
func keepReport(path string) error {
	if err := os.MkdirAll(filepath.Dir(path), crashFolderMode); err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, crashFileMode)
	if err != nil {
		return err
	}
	return errors.Join(debug.SetCrashOutput(f, debug.CrashOptions{}), f.Close())
}

// runtimeError stands for the message of a fatal error, which the runtime leaves out of its report.
const runtimeError = "fatal error of the Go runtime, named on the standard error output"

// reason returns why the process was ended, according to its report.
func reason(report string) string {
	for line := range strings.Lines(report) {
		if strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") {
			return strings.TrimSpace(line)
		}
	}
	return runtimeError
}

// place returns the first position in a report that isn't one of the runtime.
func place(report string) string {
	for line := range strings.Lines(report) {
		position, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if strings.HasPrefix(line, "\t") && !strings.Contains(position, "/src/runtime/") {
			return position
		}
	}
	return ""
}
