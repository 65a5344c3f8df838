package supervisor

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

// run is a Process that returns an error at once, or waits for the end if it has none.
type run struct{ err error }

func (r run) Run(ctx context.Context) error {
	if r.err == nil {
		<-ctx.Done()
	}
	return r.err
}

// Guards against a process that ends again and again, with nothing but an exit code, because of an error that
// passes: a full disk at the start, a write that fails, an address in use.
func TestFailedProcessIsStartedAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	handler := memory.New()
	var waits []time.Duration
	starts := 0
	err := Run(ctx, Config{
		Role: "control", Name: "core-1", Logger: &log.Logger{Handler: handler, Level: log.InfoLevel},
		Start: func() (Process, error) {
			starts++
			switch starts {
			case 1, 2, 3:
				return nil, errors.New("no space left on device")
			case 4:
				return run{errors.New("the replica ended by itself")}, nil
			}
			cancel()
			return run{}, nil
		},
		Wait: func(_ context.Context, d time.Duration) { waits = append(waits, d) },
	})
	if err != nil || starts != 5 {
		t.Errorf("%d starts, %v", starts, err)
	}
	if len(waits) != 4 || waits[0] != firstRetry || waits[3] != 8*firstRetry {
		t.Errorf("waits %v", waits)
	}
	if len(handler.Entries) != 4 || handler.Entries[3].Fields["error"] != "the replica ended by itself" {
		t.Errorf("events %+v", handler.Entries)
	}
}

// Guards against a failing process that can't be stopped while it waits.
func TestWaitEndsWithTheSignal(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	failed := errors.New("failed")
	err := Run(ctx, Config{Logger: log.Log, Start: func() (Process, error) {
		time.AfterFunc(10*time.Millisecond, cancel)
		return nil, failed
	}})
	if !errors.Is(err, failed) {
		t.Errorf("got %v", err)
	}
}

// crashVariable makes the test program crash in the given way, with its report in the file of crashFileVariable.
const (
	crashVariable     = "SUPERVISOR_TEST_CRASH"
	crashFileVariable = "SUPERVISOR_TEST_CRASH_FILE"
)

func TestMain(m *testing.M) {
	if way := os.Getenv(crashVariable); way != "" {
		reportCrash(Config{CrashFile: os.Getenv(crashFileVariable), Logger: log.Log})
		crash(way)
	}
	os.Exit(m.Run())
}

func crash(way string) {
	if way == "panic" {
		go func() { panic("index out of range of a table") }()
		select {}
	}
	var overflow func(n int) int
	overflow = func(n int) int { return overflow(n+1) + 1 }
	overflow(0)
}

// Guards against a process whose end by a panic, or by the runtime, leaves no reason in the log.
func TestCrashIsReportedByTheNextStart(t *testing.T) {
	for way, printed := range map[string]string{"panic": "panic: index out of range of a table", "stack": "fatal error: stack overflow"} {
		want := printed
		if way == "stack" {
			want = runtimeError
		}
		file := filepath.Join(t.TempDir(), "crash")
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), crashVariable+"="+way, crashFileVariable+"="+file)
		out, err := c.CombinedOutput()
		if err == nil || !strings.Contains(string(out), printed) {
			t.Fatalf("%s: %v, output %.300s", way, err, out)
		}
		handler := memory.New()
		reportCrash(Config{CrashFile: file, Logger: &log.Logger{Handler: handler, Level: log.InfoLevel}})
		if len(handler.Entries) != 1 {
			t.Fatalf("%s: events %+v", way, handler.Entries)
		}
		f := handler.Entries[0].Fields
		if f["error"] != want || !strings.Contains(f["at"].(string), "supervisor_test.go:") {
			t.Errorf("%s: %v", way, f)
		}
		handler.Entries = nil
		reportCrash(Config{CrashFile: file, Logger: &log.Logger{Handler: handler, Level: log.InfoLevel}})
		if len(handler.Entries) != 0 {
			t.Errorf("%s: reported again: %+v", way, handler.Entries)
		}
	}
}
