package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// partContact is how long servers announce themselves before anything is killed.
	partContact = 2 * time.Second
	// Longest times between two kills of each series.
	maxBackendInterval = 1500 * time.Millisecond
	maxCallerInterval  = 2 * time.Second
	maxEntryInterval   = 5 * time.Second
	maxReplicaInterval = 6 * time.Second
	maxAllInterval     = 10 * time.Second
	// maxDead is the longest time for which a killed process isn't started again.
	maxDead = 800 * time.Millisecond
	// longTime is how long long streams run before their caller is killed, restBound how soon after that all servers are at rest.
	longTime  = 2 * time.Second
	restBound = 1500 * time.Millisecond
)

// killParts serves callers that are processes of their own from servers that are too, kills all kinds of processes in
// overlapping series, and checks what the callers saw. It returns the numbers of kills and of whole answers. It uses a separate random source, so that it does not change
// the faults of a seed.
func (s *site) killParts(ctx context.Context, length time.Duration) (kills, wholes int) {
	r := rand.New(rand.NewPCG(s.seed, 107))
	s.record.note("servers and callers are processes of their own")
	p, err := s.startParts(ctx, r)
	if err != nil {
		s.record.reportViolation("start servers and callers: %v", err)
		return 0, 0
	}
	p.end = time.Now().Add(length)
	var all sync.WaitGroup
	series := func(longest time.Duration, kill func(r *rand.Rand)) {
		r := rand.New(rand.NewPCG(r.Uint64(), 3))
		longest = min(longest, length*2/3)
		all.Go(func() {
			for {
				sleep(ctx, time.Duration(r.Int64N(int64(longest))))
				if p.over() || ctx.Err() != nil {
					return
				}
				seed := r.Uint64()
				all.Go(func() { kill(rand.New(rand.NewPCG(seed, 3))) })
			}
		})
	}
	for _, service := range []string{plainService, engineService} {
		series(maxBackendInterval, func(r *rand.Rand) { p.killBackend(ctx, r, service) })
	}
	series(maxCallerInterval, func(r *rand.Rand) { p.killCaller(ctx, r) })
	series(maxEntryInterval, func(r *rand.Rand) { p.killSome(ctx, r, s.entries) })
	series(maxReplicaInterval, func(r *rand.Rand) { p.killSome(ctx, r, s.replicas) })
	series(maxAllInterval, func(r *rand.Rand) { p.killEverything(ctx, r) })
	all.Wait()
	p.checkServed(ctx)
	p.checkRest(ctx)
	p.readLogs()
	for _, n := range p.wholes() {
		wholes += n
	}
	return p.kills, wholes
}

// startParts starts servers in place of those of this process, and callers.
func (s *site) startParts(ctx context.Context, r *rand.Rand) (*parts, error) {
	p := &parts{site: s, numberings: map[string]int{}}
	s.mu.Lock()
	s.parts = p
	s.mu.Unlock()
	for i, service := range []string{plainService, engineService} {
		p.numberings[service] = r.IntN(len(numberings))
		s.record.note("servers of %s number events in way %d", service, p.numberings[service])
		for place := range backendsPerService {
			x, err := p.newPart(serverVerb, fmt.Sprintf("server-%d", i*backendsPerService+place), place)
			if err != nil {
				return nil, err
			}
			x.service = service
			s.mu.Lock()
			p.backends = append(p.backends, x)
			s.mu.Unlock()
			if err := p.startBackend(x, softwareVersions[place%len(softwareVersions)], true); err != nil {
				return nil, err
			}
		}
	}
	sleep(ctx, partContact)
	s.mu.Lock()
	old := s.servers
	s.servers = nil
	s.mu.Unlock()
	for _, x := range old {
		x.crash()
	}
	for i := range callersPerSite {
		x, err := p.newPart(callerVerb, fmt.Sprint("caller-", i), i)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		p.callers = append(p.callers, x)
		s.mu.Unlock()
		if err := p.startCaller(x, false); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// drawSignal returns SIGKILL or, at times, SIGTERM.
func drawSignal(r *rand.Rand) syscall.Signal {
	if r.IntN(3) == 0 {
		return syscall.SIGTERM
	}
	return syscall.SIGKILL
}

// killBackend ends a server of the service and starts it again, with other software or under another ID at times.
func (p *parts) killBackend(ctx context.Context, r *rand.Rand, service string) {
	x := p.drawBackend(r, service)
	signal, dead, renamed := drawSignal(r), time.Duration(r.Int64N(int64(maxDead))), r.IntN(2) == 0
	if !renamed && !p.site.quickRestarts {
		// An entry knows of a restart under one ID by a refused connection, or by an announcement.
		dead = minDowntime + time.Duration(r.Int64N(int64(maxDowntime-minDowntime)))
	}
	software := append([]string{fmt.Sprint("new-", r.IntN(1000))}, softwareVersions...)[r.IntN(1+len(softwareVersions))]
	if !x.faultLock.TryLock() {
		return
	}
	defer x.faultLock.Unlock()
	p.noteKill("%s of %s (%s of %s, %s), which becomes %s", unix.SignalName(signal), x.name, x.id, service, x.software, software)
	x.stop(signal, stopBound)
	sleep(ctx, dead)
	p.check(x, p.startBackend(x, software, renamed))
}

// drawBackend returns a server of the service.
func (p *parts) drawBackend(r *rand.Rand, service string) *part {
	n := r.IntN(backendsPerService)
	for _, x := range p.backends {
		if x.service == service && x.place == n {
			return x
		}
	}
	return nil
}

// killCaller ends a caller and starts it again.
func (p *parts) killCaller(ctx context.Context, r *rand.Rand) {
	x, signal, dead := p.callers[r.IntN(len(p.callers))], drawSignal(r), r.Int64N(int64(maxDead))
	if !x.faultLock.TryLock() {
		return
	}
	defer x.faultLock.Unlock()
	p.noteKill("%s of %s", unix.SignalName(signal), x.name)
	x.stop(signal, stopBound)
	sleep(ctx, time.Duration(dead))
	p.check(x, p.startCaller(x, false))
}

// killSome ends one of the processes, or all, and starts them again.
func (p *parts) killSome(ctx context.Context, r *rand.Rand, all []*process) {
	if n := r.IntN(len(all) + 1); n < len(all) {
		all = all[n : n+1]
	}
	signal, dead := drawSignal(r), r.Int64N(int64(maxDead))
	for _, x := range all {
		if !x.faultLock.TryLock() {
			return
		}
		defer x.faultLock.Unlock()
	}
	p.restart(ctx, all, signal, time.Duration(dead), func() {})
}

// killEverything kills all entries and replicas and, at times, replaces all servers by others of one new version.
func (p *parts) killEverything(ctx context.Context, r *rand.Rand) {
	s := p.site
	replaces, dead, software := r.IntN(2) == 0, r.Int64N(int64(maxDead)), fmt.Sprint("all-", r.IntN(1000))
	all := append(append([]*process{}, s.replicas...), s.entries...)
	for _, x := range all {
		x.faultLock.Lock()
		defer x.faultLock.Unlock()
	}
	if p.over() {
		return
	}
	p.restart(ctx, all, syscall.SIGKILL, time.Duration(dead), func() {
		if replaces {
			p.replaceBackends(software)
		}
	})
}

// replaceBackends kills all servers and starts others.
func (p *parts) replaceBackends(software string) {
	p.site.record.note("all servers are replaced by %s", software)
	for _, x := range p.backends {
		x.faultLock.Lock()
		x.stop(syscall.SIGKILL, stopBound)
		p.check(x, p.startBackend(x, software, true))
		x.faultLock.Unlock()
	}
}

// restart ends the processes, calls meanwhile and starts them again. Their fault locks are held.
func (p *parts) restart(ctx context.Context, all []*process, signal syscall.Signal, dead time.Duration, meanwhile func()) {
	var names []string
	var stopped sync.WaitGroup
	for _, x := range all {
		names = append(names, x.name)
		stopped.Go(func() { x.stop(signal, stopBound) })
	}
	p.noteKill("%s of %s", unix.SignalName(signal), strings.Join(names, " "))
	stopped.Wait()
	meanwhile()
	sleep(ctx, dead)
	for _, x := range all {
		if err := p.site.restart(x); err != nil {
			p.site.record.reportViolation("start %s: %v", x.name, err)
		}
	}
}

func (p *parts) check(x *part, err error) {
	if err != nil {
		p.site.record.reportViolation("start %s: %v", x.name, err)
	}
}
