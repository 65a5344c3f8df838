package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Terms of the guarantee to callers of entries that are cut off from all servers. From cutContact after the cut
// has begun, the first tries at these entries are served at least servedShare times as often as those at the other
// entries, or at most failedSlack and failedShare of all first tries fail there.
const (
	cutContact  = 3 * time.Second
	servedShare = 2. / 3
	failedSlack = 10
	failedShare = 1. / 50
)

const (
	// maxCutInterval is the longest time between two cuts. Each lasts between minCut and maxCut.
	maxCutInterval = 8 * time.Second
	minCut         = 7 * time.Second
	maxCut         = 9 * time.Second
	// tryInterval is the time between two first tries at an entry during a cut.
	tryInterval = 60 * time.Millisecond
	// trySpan is the length of the spans in which entries that are cut off are compared with the others.
	trySpan = 500 * time.Millisecond
)

// cutMode is what happens to the connections between an entry that is cut off and the servers.
type cutMode int

const (
	// cutSilently loses all packets: connections hang, and new ones are not established.
	cutSilently cutMode = iota
	// cutByReset resets the connections, and loses the packets of new ones.
	cutByReset
	// cutForNew leaves the connections alone and resets new ones.
	cutForNew
	cutModes
)

func (m cutMode) String() string {
	return [...]string{"silently", "by resets", "for new connections"}[m]
}

// cuts holds the entries that are cut off from all servers. An entry is known by the address that its connections come from.
type cuts struct {
	mu      sync.Mutex
	modes   map[string]cutMode
	endedAt map[string]time.Time
	proxies map[*proxy]struct{}
}

func newCuts() *cuts {
	return &cuts{modes: map[string]cutMode{}, endedAt: map[string]time.Time{}, proxies: map[*proxy]struct{}{}}
}

func (c *cuts) add(p *proxy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proxies[p] = struct{}{}
	c.filterNew(p)
}

func (c *cuts) remove(p *proxy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.proxies, p)
}

// begin cuts the entries off from all servers.
func (c *cuts) begin(entries []*process, m cutMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		c.modes[e.ip] = m
	}
	for p := range c.proxies {
		c.filterNew(p)
		p.eachLink(func(l *link) {
			if x, ok := c.modes[source(l.caller)]; ok && x == cutByReset {
				l.reset()
			} else if ok && x == cutSilently {
				l.setCutOff(true)
			}
		})
	}
}

// end reconnects the entries to all servers.
func (c *cuts) end(entries []*process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		delete(c.modes, e.ip)
		c.endedAt[e.ip] = time.Now()
	}
	for p := range c.proxies {
		c.filterNew(p)
		p.eachLink(func(l *link) {
			if _, ok := c.modes[source(l.caller)]; !ok {
				l.setCutOff(false)
			}
		})
	}
}

// cutOffSince returns whether the entry has been cut off at any time since the given one.
func (c *cuts) cutOffSince(e *process, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, cutOff := c.modes[e.ip]
	return cutOff || !c.endedAt[e.ip].Before(at)
}

// mode returns how the entry with the address is cut off.
func (c *cuts) mode(ip string) (m cutMode, cutOff bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, cutOff = c.modes[ip]
	return m, cutOff
}

// admit cuts off a connection that was accepted just when the cut of its entry began.
func (c *cuts) admit(p *proxy, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, cutOff := c.modes[source(l.caller)]
	if !cutOff || m == cutForNew {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.setCutOff(true)
}

// filterNew makes the listener drop the packets that open connections from the entries that are cut off silently.
func (c *cuts) filterNew(p *proxy) {
	var sources []string
	for ip, m := range c.modes {
		if m != cutForNew {
			sources = append(sources, ip)
		}
	}
	if t, ok := p.listener.(*net.TCPListener); ok {
		setFilter(t, dropFrom(sources))
	}
}

func (p *proxy) eachLink(do func(l *link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		do(l)
	}
}

// source returns the IP address that the connection comes from.
func source(c net.Conn) string {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	return a.IP.String()
}

// setCutOff loses all packets of the caller, or ends that. The proxy's lock is held.
func (l *link) setCutOff(on bool) {
	if l.cutOff == on {
		return
	}
	l.cutOff = on
	if !on {
		l.releasedAt = time.Now()
	}
	t, ok := l.caller.(*net.TCPConn)
	if !ok {
		return
	}
	if on {
		setFilter(t, []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}})
		return
	}
	setFilter(t, nil)
}

const (
	// sourceOffset is where a packet filter finds the source address, relative to the IP header.
	sourceOffset = 0xfff00000 + 12
	// acceptAll is the result of a packet filter that keeps the whole packet.
	acceptAll = 0xffffffff
)

// dropFrom returns a packet filter that drops packets from the given addresses, or nil if there are none.
func dropFrom(sources []string) []unix.SockFilter {
	if len(sources) == 0 {
		return nil
	}
	f := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: sourceOffset}}
	for _, s := range sources {
		ip := net.ParseIP(s).To4()
		address := uint32(ip[0])<<24 | uint32(ip[1])<<16 | uint32(ip[2])<<8 | uint32(ip[3])
		f = append(f,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: address, Jf: 1},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0})
	}
	return append(f, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll})
}

// setFilter sets the packet filter of a socket; nil removes it. A socket that has been closed needs none.
func setFilter(c syscall.Conn, f []unix.SockFilter) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		if f == nil {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(f)), Filter: &f[0]})
	})
}

// tries counts the first tries at entries that are cut off and at the others during a cut, by the time since its beginning.
type tries struct {
	mu    sync.Mutex
	spans map[time.Duration]*spanTries
}

// spanTries counts the first tries in one span of a cut.
type spanTries struct {
	cutOff, cutOffServed, others, othersServed int
}

func (t *tries) add(after time.Duration, cutOff, served bool) {
	n := 0
	if served {
		n = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.spans[after.Truncate(trySpan)]
	if x == nil {
		x = &spanTries{}
		t.spans[after.Truncate(trySpan)] = x
	}
	if cutOff {
		x.cutOff++
		x.cutOffServed += n
		return
	}
	x.others++
	x.othersServed += n
}

// check returns what callers of the entries that are cut off got, and whether that is too little. Only spans count in
// which entries of both kinds were in touch: what nobody can be served then says nothing about the cut.
func (t *tries) check() (text string, broken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all spanTries
	for _, x := range t.spans {
		if x.cutOff == 0 || x.others == 0 {
			continue
		}
		all.cutOff += x.cutOff
		all.cutOffServed += x.cutOffServed
		all.others += x.others
		all.othersServed += x.othersServed
	}
	text = fmt.Sprintf("entries that are cut off served %d of %d first tries, the others %d of %d", all.cutOffServed, all.cutOff, all.othersServed, all.others)
	failed := all.cutOff - all.cutOffServed
	seldom := float64(all.cutOffServed)*float64(all.others) < servedShare*float64(all.othersServed)*float64(all.cutOff)
	return text, seldom && float64(failed) > failedSlack+failedShare*float64(all.cutOff+all.others)
}

// cutEntries cuts entries off from all servers at random times until end. It uses a separate random source, so that
// it does not change the faults of a seed.
func cutEntries(ctx context.Context, end time.Time, s *site) {
	r := rand.New(rand.NewPCG(s.seed, 37))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(maxCutInterval))))
		s.overloaded.Lock()
		if !time.Now().Before(end) {
			s.overloaded.Unlock()
			return
		}
		s.cutSome(ctx, r, cutMode(r.IntN(int(cutModes))))
		s.overloaded.Unlock()
	}
}

// cutSome cuts some entries, but not all, off from all servers for some time, and checks what callers get meanwhile.
func (s *site) cutSome(ctx context.Context, r *rand.Rand, m cutMode) {
	if len(s.entries) < 2 {
		return
	}
	var cut []*process
	for _, i := range r.Perm(len(s.entries))[:1+r.IntN(len(s.entries)-1)] {
		cut = append(cut, s.entries[i])
	}
	names := ""
	for _, e := range cut {
		names += " " + e.name
	}
	s.record.note("cut off %s:%s", m, names)
	t := tries{spans: map[time.Duration]*spanTries{}}
	length := minCut + time.Duration(r.Int64N(int64(maxCut-minCut)))
	s.cutNumber++
	s.cuts.begin(cut, m)
	began := time.Now()
	var all sync.WaitGroup
	for i, e := range s.entries {
		name := fmt.Sprintf("%d-%d", s.seed, i+len(s.entries)*(clientsPerSite+s.cutNumber))
		x := s.newClient(name, i, r.Uint64())
		all.Go(func() { s.sendTries(ctx, x, e, slices.Contains(cut, e), began, length, &t) })
	}
	sleep(ctx, length)
	s.cuts.end(cut)
	s.record.note("over: cut off %s:%s", m, names)
	all.Wait()
	text, broken := t.check()
	s.record.note("cut off %s: %s", m, text)
	if broken && ctx.Err() == nil {
		s.record.reportViolation("cut off %s:%s: %s", m, names, text)
	}
}

// sendTries sends first tries to an entry during a cut, and counts those that the guarantee covers.
func (s *site) sendTries(ctx context.Context, x *client, e *process, cutOff bool, began time.Time, length time.Duration, t *tries) {
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; time.Since(began) < length && ctx.Err() == nil; n++ {
		// An entry that was told to stop refuses requests, however long it takes.
		q, at, stopping := x.draw(n), time.Now(), e.isStopping()
		all.Go(func() {
			served := x.send(ctx, q)
			if !stopping && at.Sub(began) >= cutContact && s.inTouchSince(e, at.Add(-cutContact)) {
				t.add(at.Sub(began), cutOff, served)
			}
		})
		sleep(ctx, tryInterval)
	}
}

// inTouchSince returns whether neither the entry nor its callers' connections nor a replica was disturbed since the given time.
func (s *site) inTouchSince(e *process, at time.Time) bool {
	for _, p := range append([]*process{e}, s.replicas...) {
		if !p.lastChange().Before(at) {
			return false
		}
	}
	return s.frontOf(e).undisturbedSince(at)
}
