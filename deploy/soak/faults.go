package main

import (
	"context"
	"syscall"
	"time"
)

// fault is one kind of fault; inject returns when the fault is over.
type fault struct {
	name string
	// affectsControl marks faults that make a control replica unavailable. The site tolerates only one of these at a time.
	affectsControl bool
	inject         func(ctx context.Context, s *site)
}

// catchUpTime is how long a control replica counts as unavailable after it has been restarted or resumed.
const catchUpTime = 4 * time.Second

// stopBound is the longest time that a program may take to stop after SIGTERM.
const stopBound = 8 * time.Second

// faults lists the faults from which a run draws.
var faults = []fault{
	{"kill a replica", true, func(ctx context.Context, s *site) { s.stopAndRestart(ctx, s.replica(), syscall.SIGKILL, false) }},
	{"stop a replica", true, func(ctx context.Context, s *site) { s.stopAndRestart(ctx, s.replica(), syscall.SIGTERM, false) }},
	{"wipe a replica", true, func(ctx context.Context, s *site) { s.stopAndRestart(ctx, s.replica(), syscall.SIGKILL, true) }},
	{"pause a replica", true, func(ctx context.Context, s *site) { s.suspend(ctx, s.replica()) }},
	{"kill all replicas", true, killAllReplicas},
	{"kill an entry", false, func(ctx context.Context, s *site) { s.stopAndRestart(ctx, s.entry(), syscall.SIGKILL, false) }},
	{"stop an entry", false, func(ctx context.Context, s *site) { s.stopAndRestart(ctx, s.entry(), syscall.SIGTERM, false) }},
	{"pause an entry", false, func(ctx context.Context, s *site) { s.suspend(ctx, s.entry()) }},
	{"SIGHUP", false, func(_ context.Context, s *site) {
		s.entry().signal(syscall.SIGHUP)
		s.replica().signal(syscall.SIGHUP)
	}},
	{"reset connections of callers", false, func(_ context.Context, s *site) { s.front().reset() }},
	{"slow connections of callers", false, func(ctx context.Context, s *site) { s.degrade(ctx, s.front(), slow) }},
	{"silence connections of callers", false, func(ctx context.Context, s *site) { s.degrade(ctx, s.front(), blocked) }},
	{"reset connections to a server", false, func(_ context.Context, s *site) { s.server().proxy.reset() }},
	{"slow connections to a server", false, func(ctx context.Context, s *site) { s.degrade(ctx, s.server().proxy, slow) }},
	{"silence a server", false, func(ctx context.Context, s *site) { s.degrade(ctx, s.server().proxy, blocked) }},
	{"lose a server's answers", false, func(ctx context.Context, s *site) { s.degrade(ctx, s.server().proxy, dropResponses) }},
	{"crash a server", false, func(_ context.Context, s *site) { s.replaceServer(true) }},
	{"a server leaves", false, func(_ context.Context, s *site) { s.replaceServer(false) }},
	{"change the document", false, func(ctx context.Context, s *site) { s.operator.putDocument(ctx, s.newRandom()) }},
	{"race two documents", false, func(ctx context.Context, s *site) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.operator.putDocument(ctx, s.newRandom())
		}()
		s.operator.putDocument(ctx, s.newRandom())
		<-done
	}},
}

// stopAndRestart stops a process with a signal and starts it again, with an empty data
// folder if wipe is set. It does nothing while another fault acts on the process.
func (s *site) stopAndRestart(ctx context.Context, p *process, signal syscall.Signal, wipe bool) {
	if !p.faultLock.TryLock() {
		return
	}
	defer p.faultLock.Unlock()
	p.stop(signal, stopBound)
	if wipe {
		s.loseDisk(p)
	}
	sleep(ctx, s.randomDuration(time.Second))
	if err := s.restart(p); err != nil {
		s.record.reportViolation("start %s: %v", p.name, err)
	}
	if p.role == "control" {
		sleep(ctx, catchUpTime)
	}
}

// loseDisk removes the data of a stopped process, or damages it if the run says so.
func (s *site) loseDisk(p *process) {
	lose := p.wipe
	if s.damagesDisks {
		lose = func() error { return p.damage(s.damageRandom) }
	}
	if err := lose(); err != nil {
		s.record.reportViolation("lose the disk of %s: %v", p.name, err)
	}
}

// suspend suspends a process for some time and resumes it. It does nothing while another
// fault acts on the process.
func (s *site) suspend(ctx context.Context, p *process) {
	if !p.faultLock.TryLock() {
		return
	}
	defer p.faultLock.Unlock()
	p.signal(syscall.SIGSTOP)
	sleep(ctx, s.randomDuration(4*time.Second))
	p.signal(syscall.SIGCONT)
	if p.role == "control" {
		sleep(ctx, catchUpTime)
	}
}

func killAllReplicas(ctx context.Context, s *site) {
	for _, p := range s.replicas {
		p.stop(syscall.SIGKILL, stopBound)
	}
	sleep(ctx, s.randomDuration(time.Second))
	for _, p := range s.replicas {
		if err := s.restart(p); err != nil {
			s.record.reportViolation("start %s: %v", p.name, err)
		}
	}
	sleep(ctx, catchUpTime)
}

// degrade puts a proxy into a mode for some time.
func (s *site) degrade(ctx context.Context, p *proxy, m mode) {
	p.set(m)
	sleep(ctx, s.randomDuration(3*time.Second))
	p.set(passThrough)
}
