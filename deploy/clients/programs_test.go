package clients

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var alone = flag.Bool("alone", false, "run the crowds, which nothing else may run beside")

// programs is the folder of the programs under test. The race detector would multiply their memory.
var programs string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	if !*alone {
		return m.Run()
	}
	folder, err := os.MkdirTemp("", "hornbeamwood-clients-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	programs = folder
	build := exec.Command("go", "build", "-o", folder, "../../platform/hornbeamwood-platform", "../../cmd/hornbeamwood", "../../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// requireAlone skips a crowd in a run beside other tests.
func requireAlone(t *testing.T) {
	t.Helper()
	if !*alone {
		t.Skip("runs with -alone only")
	}
}

// process is a program that a test has started.
type process struct {
	name    string
	command *exec.Cmd
	output  bytes.Buffer
	ended   chan struct{}

	// addresses are where it listens, as the kernel prints them.
	addresses []string

	sampling   sync.WaitGroup
	stop       chan struct{}
	mu         sync.Mutex
	peakBytes  int64
	peakHandle int
}

// startProgram runs a program until the test ends and samples what it uses.
func startProgram(t *testing.T, name string, environment, addresses []string, program string, arguments ...string) *process {
	t.Helper()
	p := &process{name: name, command: exec.Command(filepath.Join(programs, program), arguments...), ended: make(chan struct{}), stop: make(chan struct{})}
	for _, a := range addresses {
		p.addresses = append(p.addresses, kernelAddress(t, a))
	}
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		_ = p.command.Wait()
	}()
	p.sampling.Go(p.sample)
	t.Cleanup(func() {
		close(p.stop)
		p.sampling.Wait()
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.ended
		if t.Failed() {
			out := p.output.String()
			t.Logf("== %s: %v\n%s", name, p.command.ProcessState, out[max(0, len(out)-logTailBytes):])
		}
	})
	return p
}

const (
	logTailBytes   = 1000
	sampleInterval = 20 * time.Millisecond
)

// sample records the largest sum of the process's memory and of the bytes that have arrived and aren't read, and the
// most open descriptors.
func (p *process) sample() {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-p.ended:
			return
		case <-tick.C:
		}
		used := p.statusBytes("VmRSS:") + p.unreadBytes()
		handles, _ := os.ReadDir(p.proc("fd"))
		p.mu.Lock()
		p.peakBytes, p.peakHandle = max(p.peakBytes, used), max(p.peakHandle, len(handles))
		p.mu.Unlock()
	}
}

func (p *process) proc(file string) string {
	return filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), file)
}

// statusBytes returns a field of the process's status in bytes, zero if the process has ended.
func (p *process) statusBytes(field string) int64 {
	b, _ := os.ReadFile(p.proc("status"))
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, field); ok {
			n, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}

// unreadBytes returns how many bytes have arrived at the process's addresses and aren't read.
func (p *process) unreadBytes() int64 {
	b, _ := os.ReadFile("/proc/net/tcp")
	var sum int64
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		for _, a := range p.addresses {
			// A listening socket, state 0A, counts waiting connections there.
			if len(f) > 4 && f[1] == a && f[3] != "0A" {
				_, unread, _ := strings.Cut(f[4], ":")
				n, _ := strconv.ParseInt(unread, 16, 64)
				sum += n
			}
		}
	}
	return sum
}

// kernelAddress returns an IPv4 address and port as /proc/net/tcp prints them on a little-endian machine.
func kernelAddress(t *testing.T, address string) string {
	t.Helper()
	var a, b, c, d, port int
	if _, err := fmt.Sscanf(address, "%d.%d.%d.%d:%d", &a, &b, &c, &d, &port); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", d, c, b, a, port)
}

// peak returns the largest sampled memory in bytes, at least the kernel's own peak, and the most open descriptors.
func (p *process) peak() (int64, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.peakBytes, p.statusBytes("VmHWM:")), p.peakHandle
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// bounds are what a process may use.
type bounds struct {
	megabytes int64
	handles   int
}

// check fails the test unless the process lives and has stayed within its bounds.
func (p *process) check(t *testing.T, b bounds) {
	t.Helper()
	if !p.alive() {
		t.Errorf("%s has ended: %v", p.name, p.command.ProcessState)
		return
	}
	used, handles := p.peak()
	t.Logf("%s: peak of %d MB of %d, %d descriptors of %d", p.name, used>>20, b.megabytes, handles, b.handles)
	if used > b.megabytes<<20 {
		t.Errorf("%s used %d MB, %d allowed", p.name, used>>20, b.megabytes)
	}
	if handles > b.handles {
		t.Errorf("%s had %d descriptors, %d allowed", p.name, handles, b.handles)
	}
}

// eventually repeats a check until it holds.
func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !check(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met: %s", condition)
		}
	}
}

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 100 * time.Millisecond
)
