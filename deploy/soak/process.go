package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// grace is how long a program may keep running after SIGTERM.
const grace = 6 * time.Second

// process is one program of the site; it is the same process after a restart.
type process struct {
	name     string
	role     string
	ip       string
	settings string
	log      string
	program  string
	dataDir  string
	// arguments follow the role. They may change while the program isn't running.
	arguments []string

	// faultLock is held by the fault that acts on the process.
	faultLock sync.Mutex

	mu        sync.Mutex
	command   *exec.Cmd
	exited    chan struct{}
	suspended bool
	// stopping reports whether the soak is stopping the program. onExit, if not nil, is called when the program exits by itself, with the time that it ran.
	stopping bool
	onExit   func(p *process, ran time.Duration, err error)
	// startedAt is when the program was last started, plus the time that it was suspended since; suspendedAt is when it was last suspended.
	startedAt, suspendedAt time.Time
	// changedAt is when the program was last started or got a signal.
	changedAt time.Time
	// plannedAt is when the program last got a signal to stop or to reload, unplannedAt when anything else
	// last happened to it. A start after a signal to stop is planned.
	plannedAt, unplannedAt time.Time
	// stopAt is when it last got a signal to stop.
	stopAt           time.Time
	stoppedAsPlanned bool
}

// start starts the program. It returns an error if the program is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return fmt.Errorf("%s is already running", p.name)
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	c := exec.Command(p.program, append([]string{p.role}, p.arguments...)...)
	c.Env = append(os.Environ(), "HORNBEAMWOOD_CONFIG="+p.settings)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited, p.suspended, p.stopping, p.changedAt = c, exited, false, false, time.Now()
	p.startedAt = p.changedAt
	if !p.stoppedAsPlanned {
		p.unplannedAt = p.changedAt
	}
	p.stoppedAsPlanned = false
	go func() {
		err := c.Wait()
		_ = out.Close()
		p.mu.Lock()
		if p.command == c {
			p.command = nil
		}
		unexpected := !p.stopping && p.onExit != nil
		ran := time.Since(p.startedAt)
		p.mu.Unlock()
		if unexpected {
			p.onExit(p, ran, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the running program and returns whether there is one.
func (p *process) signal(s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	now := time.Now()
	switch {
	case !p.suspended && s == syscall.SIGSTOP:
		p.suspendedAt = now
	case p.suspended && s == syscall.SIGCONT:
		// The time that it was suspended doesn't count as running time.
		p.startedAt = p.startedAt.Add(now.Sub(p.suspendedAt))
	}
	p.suspended = s == syscall.SIGSTOP || p.suspended && s != syscall.SIGCONT
	p.changedAt = now
	if s == syscall.SIGTERM || s == syscall.SIGHUP {
		p.plannedAt = now
	} else {
		p.unplannedAt = now
	}
	p.stoppedAsPlanned = s == syscall.SIGTERM
	if p.stoppedAsPlanned {
		p.stopAt = now
	}
	return p.command.Process.Signal(s) == nil
}

// runningOrStopped reports whether the program is running or a fault has stopped it.
func (p *process) runningOrStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil || p.stopping
}

// lastChange returns when the program was last started or got a signal.
func (p *process) lastChange() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changedAt
}

// onlyPlannedSince returns whether nothing unplanned has happened to the program since the given time.
func (p *process) onlyPlannedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unplannedAt.Before(at) && !p.suspended
}

// isStopping returns whether the program has been told to stop and not been started again.
func (p *process) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopping
}

// lastStop returns when the program last got a signal to stop.
func (p *process) lastStop() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopAt
}

// plannedSince returns whether the program has got a signal to stop or to reload since the given time.
func (p *process) plannedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.plannedAt.Before(at)
}

// stop sends a signal and waits until the program has exited. After the timeout it kills the program.
func (p *process) stop(s syscall.Signal, timeout time.Duration) {
	p.mu.Lock()
	exited, running, suspended := p.exited, p.command != nil, p.suspended
	p.stopping = true
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(s)
	if suspended {
		p.signal(syscall.SIGCONT)
	}
	select {
	case <-exited:
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// wipe removes the data of a stopped process.
func (p *process) wipe() error {
	return os.RemoveAll(p.dataDir)
}

// damage flips a bit in one file of a stopped process. A file that lost its end isn't told from one with an unsynced write.
func (p *process) damage(random *rand.Rand) error {
	files, err := os.ReadDir(p.dataDir)
	if err != nil {
		return err
	}
	files = slices.DeleteFunc(files, func(f os.DirEntry) bool {
		i, err := f.Info()
		return err != nil || i.Size() == 0
	})
	if len(files) == 0 {
		return nil
	}
	path := filepath.Join(p.dataDir, files[random.IntN(len(files))].Name())
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	b[random.IntN(len(b))] ^= 1 << random.IntN(8)
	return os.WriteFile(path, b, 0o600)
}

// writeSettings writes the settings file as the provider does.
func (p *process) writeSettings(folder string, seeds []string, firstStart bool) error {
	text := fmt.Sprintf(`node = %q
ip = %q
zone = "z1"
internal_ports = [7700,7710]
seeds = [%s]
bootstrap = %t
data_dir = %q
heartbeat_ms = 400
[listen]
front = "%s:8005"
ready = "%s:8002"
control = "%s:8000"
[limits]
memory_mb = 300
max_fds = 1000
[bounds]
grace_s = %d
drain_ms = 2000
lease_ms = 1000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 50
cold_overshoot = %.1f
cold_slack = %d
version_ms = 15000
fencing_enforced = true
`, p.name, p.ip, quoted(seeds), firstStart, p.dataDir, p.ip, p.ip, p.ip, grace/time.Second, coldFactor, coldSlack)
	temporary := filepath.Join(folder, p.name+".tmp")
	if err := os.WriteFile(temporary, []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, p.settings)
}

func quoted(all []string) string {
	text := ""
	for i, s := range all {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf("%q", s+":8000")
	}
	return text
}
