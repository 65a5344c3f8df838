package reach

import (
	"sync"
	"time"
)

const (
	// minOther is the least time for which a direct connection is waited for alone: some round trips between
	// availability zones.
	minOther = 50 * time.Millisecond
	// maxOther leaves most of the time for a connection to the tunnel.
	maxOther = 150 * time.Millisecond
	// handshakes is how many times the last handshake's duration a direct connection may take.
	handshakes = 3
	// probeInterval is the interval of direct attempts to a server that is reached in a tunnel.
	probeInterval = time.Second
	// maxProbes bounds the probes at one time.
	maxProbes = 32
	// failureWindow is how long a failure says something about this entry.
	failureWindow = 2 * time.Second
	// minFailures is how many servers must have failed before this entry counts as isolated.
	minFailures = 2
	// isolationDelay is how long nothing must have been reached before this entry counts as isolated. The first
	// tunnel takes longer than later ones.
	isolationDelay = time.Second
	// trialInterval is the interval of the requests that are tried while this entry is isolated.
	trialInterval = 100 * time.Millisecond
	// forgetAfter is how long the state of an unused server is kept.
	forgetAfter = 2 * time.Minute
)

// server is the state of the paths to one server.
type server struct {
	// name is the server's identity.
	name string
	// connectedAt is when a direct connection was last established, handshake how long that took, and reachedAt
	// when a direct connection was last established or brought something.
	connectedAt, reachedAt time.Time
	handshake              time.Duration
	// failedAt is when the latest failed direct attempt began, unless a direct connection was established since.
	failedAt time.Time
	// tunnelAt is when a tunnel was last established, noPeerAt when no other entry could be asked for one.
	tunnelAt, noPeerAt time.Time
	// cut is set if the server is reached in a tunnel only. Direct connections on which nothing came since
	// cutSince are lost, also after the cut.
	cut      bool
	cutSince time.Time
	// refused is set if the latest failed direct attempt was refused, so that older connections may live on.
	refused bool
	// refusedAt is when a connection was last refused, unless the refusal was found to be that of the direct path only.
	refusedAt time.Time
	probeAt   time.Time
	usedAt    time.Time
}

type paths struct {
	mu      sync.Mutex
	servers map[string]*server
	cut     int
	// suspectSince is when the path to any server was last lost. Direct connections to other servers may be lost
	// as well.
	suspectSince time.Time
	// contactAt is when a server or another entry was last reached on any path.
	contactAt time.Time
	// noPeerSince is when no other entry could be asked for the first time since contactAt.
	noPeerSince time.Time
	trialAt     time.Time
	sweptAt     time.Time
}

// New returns Paths without any server.
func New() Paths {
	return &paths{servers: map[string]*server{}}
}

// server returns the state of a server. The caller holds the lock.
func (p *paths) server(address string, now time.Time) *server {
	s, ok := p.servers[address]
	if !ok {
		p.sweep(now)
		s = &server{}
		p.servers[address] = s
	}
	s.usedAt = now
	return s
}

func (p *paths) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < forgetAfter {
		return
	}
	p.sweptAt = now
	for address, s := range p.servers {
		if now.Sub(s.usedAt) <= forgetAfter {
			continue
		}
		if s.cut {
			p.cut--
		}
		delete(p.servers, address)
	}
}

// Plan implements Paths.
func (p *paths) Plan(address string, now time.Time) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(address, now)
	if !s.cut {
		return Plan{First: Direct, Other: min(maxOther, max(minOther, handshakes*s.handshake))}
	}
	if now.Before(s.probeAt) {
		return Plan{First: Tunnel, Other: maxOther}
	}
	s.probeAt = now.Add(probeInterval)
	return Plan{First: Tunnel}
}

// Probes implements Paths.
func (p *paths) Probes(now time.Time) []Probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	if p.cut == 0 {
		return nil
	}
	var due []Probe
	for address, s := range p.servers {
		if len(due) == maxProbes {
			break
		}
		if s.cut && !now.Before(s.probeAt) {
			s.probeAt = now.Add(probeInterval)
			due = append(due, Probe{Server: s.name, Address: address})
		}
	}
	return due
}

// Record implements Paths.
func (p *paths) Record(a Attempt) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[a.Address]
	switch {
	case !a.Probe:
		s = p.server(a.Address, a.Ended)
		s.name = a.Server
	case !ok:
		return Unchanged
	}
	if a.Outcome != NoPeer && (a.Path == Tunnel || a.Outcome == Connected) {
		// Another entry that refuses a tunnel, because the server does, has been reached.
		p.recordContact(a.Ended)
	}
	if a.Path == Direct {
		return p.recordDirect(s, a)
	}
	return p.recordTunnel(s, a)
}

func (p *paths) recordContact(now time.Time) {
	p.contactAt, p.noPeerSince = latest(p.contactAt, now), time.Time{}
}

func (p *paths) recordDirect(s *server, a Attempt) Change {
	if a.Outcome == Refused && !s.cut {
		s.refusedAt = latest(s.refusedAt, a.Ended)
	}
	if a.Outcome != Connected {
		if s.connectedAt.After(a.Began) {
			return Unchanged
		}
		s.failedAt, s.refused = latest(s.failedAt, a.Began), a.Outcome == Refused
		return p.judge(s, a.Ended)
	}
	s.connectedAt, s.reachedAt = latest(s.connectedAt, a.Ended), latest(s.reachedAt, a.Ended)
	s.handshake, s.failedAt = a.Ended.Sub(a.Began), time.Time{}
	if !s.cut {
		return Unchanged
	}
	s.cut = false
	p.cut--
	return Regained
}

func (p *paths) recordTunnel(s *server, a Attempt) Change {
	switch a.Outcome {
	case Connected:
		s.tunnelAt = latest(s.tunnelAt, a.Ended)
	case Refused:
		s.refusedAt = latest(s.refusedAt, a.Ended)
	case NoPeer:
		s.noPeerAt = latest(s.noPeerAt, a.Ended)
		if p.noPeerSince.IsZero() {
			p.noPeerSince = a.Began
		}
	}
	return p.judge(s, a.Ended)
}

// judge marks the server as cut off if a tunnel was established after a direct attempt that failed had begun.
func (p *paths) judge(s *server, now time.Time) Change {
	if s.cut || s.failedAt.IsZero() || !s.tunnelAt.After(s.failedAt) {
		return Unchanged
	}
	s.cut, s.cutSince, s.probeAt = true, s.failedAt, now.Add(probeInterval)
	s.refusedAt = time.Time{}
	p.cut++
	p.suspectSince = latest(p.suspectSince, s.cutSince)
	return CutOff
}

// Received implements Paths. Old connections may live on while new ones are refused, so it doesn't end a cut.
func (p *paths) Received(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(address, now)
	s.reachedAt = latest(s.reachedAt, now)
	p.recordContact(now)
}

// ReceivedSince implements Paths.
func (p *paths) ReceivedSince(address string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[address]
	return ok && s.reachedAt.After(since)
}

// Silent implements Paths.
func (p *paths) Silent(address string, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.servers[address]; ok && s.cut {
		s.cutSince = latest(s.cutSince, since)
	}
}

// Trusted implements Paths.
func (p *paths) Trusted(address string, receivedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[address]
	if !ok {
		return true
	}
	if !receivedAt.After(s.cutSince) {
		return false
	}
	return s.cut || receivedAt.After(p.suspectSince) || s.reachedAt.After(p.suspectSince)
}

// Hangs implements Paths.
func (p *paths) Hangs(address string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[address]
	return ok && s.cut && !s.refused && !s.reachedAt.After(since)
}

// CutOff implements Paths.
func (p *paths) CutOff(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[address]
	return ok && s.cut
}

// RefusedAt implements Paths.
func (p *paths) RefusedAt(address string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.servers[address]; ok {
		return s.refusedAt
	}
	return time.Time{}
}

// OnlyOne implements Paths.
func (p *paths) OnlyOne(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var failed, reached time.Time
	for x, s := range p.servers {
		if x != address {
			failed, reached = latest(failed, s.failedAt), latest(reached, s.reachedAt)
		}
	}
	return reached.After(failed) || now.Sub(failed) > failureWindow
}

// Isolated implements Paths. It ends when nothing has failed for a while.
func (p *paths) Isolated(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.noPeerSince.IsZero() || now.Sub(p.noPeerSince) < isolationDelay {
		return false
	}
	n := 0
	for _, s := range p.servers {
		if s.noPeerAt.After(p.contactAt) && s.failedAt.After(p.contactAt) && now.Sub(s.noPeerAt) < failureWindow {
			n++
		}
	}
	return n >= minFailures
}

// Trial implements Paths.
func (p *paths) Trial(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.trialAt) {
		return false
	}
	p.trialAt = now.Add(trialInterval)
	return true
}

// Len implements Paths.
func (p *paths) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
