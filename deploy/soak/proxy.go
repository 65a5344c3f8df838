package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mood is what a proxy does to the bytes that pass.
type mood int

const (
	// clearly passes bytes on.
	clearly mood = iota
	// slowly delays each piece.
	slowly
	// silent passes nothing on in either direction and resets nothing.
	silent
	// oneWay loses what comes back.
	oneWay
)

// slowDelay is what a slow proxy adds to each piece.
const slowDelay = 40 * time.Millisecond

// proxy stands before one address and spoils its connections as told.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mood     mood
	conns    map[net.Conn]struct{}
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

func (p *proxy) set(m mood) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mood = m
}

func (p *proxy) is() mood {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mood
}

// reset breaks all connections off.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
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

func (p *proxy) keep(c net.Conn, open bool) {
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
		p.keep(x, true)
		defer p.keep(x, false)
	}
	done := make(chan struct{}, 2)
	go p.pass(t, c, false, done)
	go p.pass(c, t, true, done)
	<-done
}

// pass copies from one side to the other in the present mood.
func (p *proxy) pass(to, from net.Conn, back bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !p.forward(to, b[:n], back) {
			return
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = t.CloseWrite()
				// The other direction may still have something to say.
				time.Sleep(time.Second)
			}
			return
		}
	}
}

// forward passes one piece on; what is held up in silence is lost with its connection.
func (p *proxy) forward(to net.Conn, b []byte, back bool) bool {
	switch m := p.is(); {
	case m == slowly:
		time.Sleep(slowDelay)
	case m == silent, m == oneWay && back:
		for p.is() == m {
			time.Sleep(slowDelay)
		}
		return false
	}
	_, err := to.Write(b)
	return err == nil
}
