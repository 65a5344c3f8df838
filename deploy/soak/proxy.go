package main

import (
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

// proxy forwards connections to one address and degrades them according to its mode.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     mode
	// changedAt is when the mode was last changed or the connections were reset.
	changedAt time.Time
	conns     map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
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

// undisturbedSince returns whether the proxy has only passed bytes through since the given time.
func (p *proxy) undisturbedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == passThrough && p.changedAt.Before(at)
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
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = struct{}{}
		return
	}
	delete(p.conns, c)
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer t.Close()
	for _, x := range []net.Conn{c, t} {
		p.track(x, true)
		defer p.track(x, false)
	}
	done := make(chan struct{}, 2)
	go p.copyBytes(t, c, false, done)
	go p.copyBytes(c, t, true, done)
	<-done
}

// copyBytes copies from one side to the other according to the current mode.
func (p *proxy) copyBytes(to, from net.Conn, response bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !p.forward(to, b[:n], response) {
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

// forward forwards one block. A block that is held back while the proxy is blocked or drops responses is lost with its connection.
func (p *proxy) forward(to net.Conn, b []byte, response bool) bool {
	switch m := p.currentMode(); {
	case m == slow:
		time.Sleep(slowDelay)
	case m == blocked, m == dropResponses && response:
		for p.currentMode() == m {
			time.Sleep(slowDelay)
		}
		return false
	}
	_, err := to.Write(b)
	return err == nil
}
