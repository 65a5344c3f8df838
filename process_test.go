package hornbeamwood_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binaries holds the programs under test, built once with the race detector.
var binaries struct {
	once   sync.Once
	folder string
	err    error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binaries.folder != "" {
		_ = os.RemoveAll(binaries.folder)
	}
	os.Exit(code)
}

// binary returns the path of a built program.
func binary(t *testing.T, name string) string {
	t.Helper()
	binaries.once.Do(func() {
		binaries.folder, binaries.err = os.MkdirTemp("", "hornbeamwood-test-")
		if binaries.err != nil {
			return
		}
		build := exec.Command("go", "build", "-race", "-o", binaries.folder, "./cmd/hornbeamwood", "./cmd/standin")
		if *measure {
			build = exec.Command("go", "build", "-o", binaries.folder, "./cmd/hornbeamwood", "./cmd/standin")
		}
		b, err := build.CombinedOutput()
		if err != nil {
			binaries.err = fmt.Errorf("build: %w\n%s", err, b)
		}
	})
	if binaries.err != nil {
		t.Fatal(binaries.err)
	}
	return filepath.Join(binaries.folder, name)
}

// process is one program that a test started.
type process struct {
	name    string
	command *exec.Cmd
	output  *log
	ended   chan struct{}
}

// log collects the output of a process.
type log struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start runs a program until the test ends; its output is shown when the test fails.
func start(t *testing.T, name, program string, arguments ...string) *process {
	t.Helper()
	p := &process{
		name:    name,
		command: exec.Command(binary(t, program), arguments...),
		output:  &log{},
		ended:   make(chan struct{}),
	}
	p.command.Stdout = p.output
	p.command.Stderr = p.output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		_ = p.command.Wait()
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if t.Failed() {
			t.Logf("== %s (%s)\n%s", name, p.command.ProcessState, tail(p.output.String()))
		}
	})
	return p
}

// tailBytes is how much of a failed process's output is shown.
const tailBytes = 6000

func tail(s string) string {
	if len(s) <= tailBytes {
		return s
	}
	return "..." + s[len(s)-tailBytes:]
}

func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// kill ends the process at once, as the loss of its VM would.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// stop requests a graceful stop and returns the exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	<-p.ended
	return p.command.ProcessState.ExitCode()
}

// waitTimeout bounds every wait of these tests. It only limits how long a hanging test runs.
const waitTimeout = 60 * time.Second

// eventually waits until condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	until := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(until) {
			t.Fatalf("gave up waiting: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
