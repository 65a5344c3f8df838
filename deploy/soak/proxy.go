package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with the bytes that pass through it.
type mode int

const (
	// passThrough forwards bytes.
	passThrough mode = iota
	// slow delays each block.
	slow
	// blocked forwards nothing in either direction, and resets no connection.
	blocked
	// dropResponses forwards requests and drops responses.
	dropResponses
)

// slowDelay is the delay that a slow proxy adds to each block.
const slowDelay = 40 * time.Millisecond

// silence is what a proxy does with responses while its server is silent.
type silence int

const (
	// talking forwards responses.
	talking silence = iota
	// silent holds back responses until the silence is over.
	silent
	// silentMidway forwards half of a block before it holds back the rest.
	silentMidway
)

// proxy forwards connections to one address and degrades them according to its mode.
type proxy struct {
	listener net.Listener
	target   string
	// cuts is nil unless the proxy leads to a server.
	cuts *cuts

	mu   sync.Mutex
	mode mode
	// changedAt is when the mode was last changed or the connections were reset.
	changedAt time.Time
	silence   silence
	// silenceChangedAt is when a silence last began or ended.
	silenceChangedAt time.Time
	// down is set while the server refuses connections.
	down  bool
	links map[*link]struct{}
}

// link is a connection through a proxy.
type link struct {
	caller, target net.Conn
	// cutOff is set while nothing passes between the two sides because the caller's process is cut off, releasedAt when
	// that last ended.
	cutOff     bool
	releasedAt time.Time
}

// reset resets both sides of the connection.
func (l *link) reset() {
	for _, c := range []net.Conn{l.caller, l.target} {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// newProxy returns a proxy to the target. c is nil unless the target is a server.
func newProxy(target string, c *cuts) (*proxy, error) {
	var lc net.ListenConfig
	// Sockets of multipath TCP take no filters.
	lc.SetMultipathTCP(false)
	l, err := lc.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, cuts: c, links: map[*link]struct{}{}}
	if c != nil {
		c.add(p)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if p.refuses(c) {
				resetConn(c)
				continue
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.changedAt = m, time.Now()
}

// undisturbedSince returns whether the proxy has only passed bytes through since the given time, without a silence.
func (p *proxy) undisturbedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.soundSinceLocked(at) && p.silence == talking && p.silenceChangedAt.Before(at)
}

// soundSince returns whether the proxy has lost and changed nothing since the given time. A silence loses nothing.
func (p *proxy) soundSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.soundSinceLocked(at)
}

func (p *proxy) soundSinceLocked(at time.Time) bool {
	return p.mode == passThrough && !p.down && p.changedAt.Before(at)
}

func (p *proxy) setSilence(x silence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence, p.silenceChangedAt = x, time.Now()
}

// setDown makes the proxy reset all connections and refuse new ones, or ends that.
func (p *proxy) setDown(down bool) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	p.reset()
}

func (p *proxy) currentSilence() silence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silence
}

// refuses returns whether a new connection is reset at once, the closest to a refusal that a listening process can do.
func (p *proxy) refuses(c net.Conn) bool {
	if p.isDown() {
		return true
	}
	if p.cuts == nil {
		return false
	}
	m, cutOff := p.cuts.mode(source(c))
	return cutOff && m == cutForNew
}

func (p *proxy) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changedAt = time.Now()
	for l := range p.links {
		l.reset()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	if p.cuts != nil {
		p.cuts.remove(p)
	}
	p.reset()
}

func (p *proxy) track(l *link, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.links[l] = struct{}{}
		return
	}
	delete(p.links, l)
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer t.Close()
	l := &link{caller: c, target: t}
	p.track(l, true)
	defer p.track(l, false)
	if p.cuts != nil {
		p.cuts.admit(p, l)
	}
	done := make(chan struct{}, 2)
	go p.copyBytes(l, false, done)
	go p.copyBytes(l, true, done)
	<-done
}

// copyBytes copies from one side to the other according to the current mode.
func (p *proxy) copyBytes(l *link, response bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	to, from := l.target, l.caller
	if response {
		to, from = l.caller, l.target
	}
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !p.forward(l, to, b[:n], response) {
			return
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = t.CloseWrite()
				// The other direction may still have bytes to forward.
				time.Sleep(time.Second)
			}
			return
		}
	}
}

// forward forwards one block. A block that is held back while the proxy is blocked or drops responses is lost with
// its connection, one that is held back by a silence or a cut is forwarded afterwards.
func (p *proxy) forward(l *link, to net.Conn, b []byte, response bool) bool {
	for p.isCutOff(l) {
		time.Sleep(slowDelay)
	}
	switch m := p.currentMode(); {
	case m == slow:
		time.Sleep(slowDelay)
	case m == blocked, m == dropResponses && response:
		for p.currentMode() == m {
			time.Sleep(slowDelay)
		}
		return false
	}
	if x := p.currentSilence(); x != talking && response {
		if x == silentMidway {
			half := len(b) / 2
			if _, err := to.Write(b[:half]); err != nil {
				return false
			}
			b = b[half:]
		}
		for p.currentSilence() == x {
			time.Sleep(slowDelay)
		}
	}
	_, err := to.Write(b)
	return err == nil
}

// sender returns the IP address of the process whose connection arrives from the source, and when that connection was
// last released from a cut. What was sent before may arrive now.
func (p *proxy) sender(from string) (ip string, releasedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if l.target.LocalAddr().String() == from {
			return source(l.caller), l.releasedAt
		}
	}
	return "", time.Time{}
}

func (p *proxy) isCutOff(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.cutOff
}
