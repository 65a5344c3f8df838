package main

import (
	"context"
	"syscall"
	"time"
)

// fault is one kind of trouble; it returns when it is over.
type fault struct {
	name string
	// core says that it takes a control replica away, of which one at a time is borne.
	core   bool
	inject func(ctx context.Context, s *site)
}

// catchUp is how long a control replica counts as lost after it is back.
const catchUp = 4 * time.Second

// stopBound is how long a program may take to stop after SIGTERM.
const stopBound = 8 * time.Second

// faults are drawn from.
var faults = []fault{
	{"kill a replica", true, func(ctx context.Context, s *site) { s.bounce(ctx, s.replica(), syscall.SIGKILL, false) }},
	{"stop a replica", true, func(ctx context.Context, s *site) { s.bounce(ctx, s.replica(), syscall.SIGTERM, false) }},
	{"wipe a replica", true, func(ctx context.Context, s *site) { s.bounce(ctx, s.replica(), syscall.SIGKILL, true) }},
	{"pause a replica", true, func(ctx context.Context, s *site) { s.hold(ctx, s.replica()) }},
	{"kill all replicas", true, killAll},
	{"kill an entry", false, func(ctx context.Context, s *site) { s.bounce(ctx, s.entry(), syscall.SIGKILL, false) }},
	{"stop an entry", false, func(ctx context.Context, s *site) { s.bounce(ctx, s.entry(), syscall.SIGTERM, false) }},
	{"pause an entry", false, func(ctx context.Context, s *site) { s.hold(ctx, s.entry()) }},
	{"SIGHUP", false, func(_ context.Context, s *site) {
		s.entry().signal(syscall.SIGHUP)
		s.replica().signal(syscall.SIGHUP)
	}},
	{"reset connections of callers", false, func(_ context.Context, s *site) { s.front().reset() }},
	{"slow connections of callers", false, func(ctx context.Context, s *site) { s.spoil(ctx, s.front(), slowly) }},
	{"silence connections of callers", false, func(ctx context.Context, s *site) { s.spoil(ctx, s.front(), silent) }},
	{"reset connections to a server", false, func(_ context.Context, s *site) { s.server().proxy.reset() }},
	{"slow connections to a server", false, func(ctx context.Context, s *site) { s.spoil(ctx, s.server().proxy, slowly) }},
	{"silence a server", false, func(ctx context.Context, s *site) { s.spoil(ctx, s.server().proxy, silent) }},
	{"lose a server's answers", false, func(ctx context.Context, s *site) { s.spoil(ctx, s.server().proxy, oneWay) }},
	{"crash a server", false, func(_ context.Context, s *site) { s.replaceServer(true) }},
	{"a server leaves", false, func(_ context.Context, s *site) { s.replaceServer(false) }},
	{"change the document", false, func(ctx context.Context, s *site) { s.operator.change(ctx, s.draws()) }},
	{"race two documents", false, func(ctx context.Context, s *site) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.operator.change(ctx, s.draws())
		}()
		s.operator.change(ctx, s.draws())
		<-done
	}},
}

// bounce stops a process and starts it again, with an empty disk if wiped; one
// that another fault has is left alone.
func (s *site) bounce(ctx context.Context, p *process, with syscall.Signal, wiped bool) {
	if !p.fault.TryLock() {
		return
	}
	defer p.fault.Unlock()
	p.stop(with, stopBound)
	if wiped {
		if err := p.wipe(); err != nil {
			s.record.broke("wipe %s: %v", p.name, err)
		}
	}
	pause(ctx, s.upTo(time.Second))
	if err := s.restart(p); err != nil {
		s.record.broke("start %s: %v", p.name, err)
	}
	if p.role == "control" {
		pause(ctx, catchUp)
	}
}

// hold pauses a process for some time.
func (s *site) hold(ctx context.Context, p *process) {
	if !p.fault.TryLock() {
		return
	}
	defer p.fault.Unlock()
	p.signal(syscall.SIGSTOP)
	pause(ctx, s.upTo(4*time.Second))
	p.signal(syscall.SIGCONT)
	if p.role == "control" {
		pause(ctx, catchUp)
	}
}

func killAll(ctx context.Context, s *site) {
	for _, p := range s.replicas {
		p.stop(syscall.SIGKILL, stopBound)
	}
	pause(ctx, s.upTo(time.Second))
	for _, p := range s.replicas {
		if err := s.restart(p); err != nil {
			s.record.broke("start %s: %v", p.name, err)
		}
	}
	pause(ctx, catchUp)
}

// spoil puts a proxy into a mood for some time.
func (s *site) spoil(ctx context.Context, p *proxy, m mood) {
	p.set(m)
	pause(ctx, s.upTo(3*time.Second))
	p.set(clearly)
}
