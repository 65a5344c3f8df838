package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// linkBacklog is how many connections wait to be accepted at a link.
	linkBacklog = 16
	// linkResend is how long after a cut it takes until what was lost is sent again.
	linkResend = 300 * time.Millisecond
)

// link is the path to a server, a proxy that can be cut. While it is cut, its channels hang and nothing new is established.
// What was sent meanwhile arrives afterwards, the end of a channel too.
type link struct {
	at, to string

	mu       sync.Mutex
	listener *net.TCPListener
	whole    chan struct{}
	isCut    bool
}

func newLink(at, to string) *link {
	k := &link{at: at, to: to, whole: make(chan struct{})}
	close(k.whole)
	return k
}

// open lets connections be made, as a server does that listens.
func (k *link) open() error {
	x, err := listen(k.at)
	if err != nil {
		return err
	}
	l, ok := x.(*net.TCPListener)
	if !ok {
		return errors.New("not a TCP listener")
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	failed := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), linkBacklog) })
	if err = errors.Join(failed, err); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener = l
	go k.accept(l)
	return nil
}

// refuse lets connections be refused, as the machine of a process that has ended does. Nothing is refused over a cut.
func (k *link) refuse() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isCut && k.listener != nil {
		_ = k.listener.Close()
		k.listener = nil
	}
}

// listens returns whether connections can be made or hang.
func (k *link) listens() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listener != nil
}

// cut cuts the link. Its backlog is filled, so that the kernel drops what asks for a connection.
func (k *link) cut() {
	k.mu.Lock()
	k.whole, k.isCut = make(chan struct{}), true
	k.mu.Unlock()
	for range linkBacklog + 4 {
		go func() {
			c, err := net.DialTimeout("tcp", k.at, 100*time.Millisecond)
			if err == nil {
				k.pass()
				c.Close()
			}
		}()
	}
}

// heal ends the cut.
func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isCut = false
	close(k.whole)
}

// pass waits until the link isn't cut, and returns whether it was.
func (k *link) pass() bool {
	k.mu.Lock()
	whole, was := k.whole, k.isCut
	k.mu.Unlock()
	<-whole
	return was
}

func (k *link) accept(l *net.TCPListener) {
	for {
		k.pass()
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(c *net.TCPConn) {
	defer c.Close()
	k.pass()
	s, err := net.Dial("tcp", k.to)
	if err != nil {
		_ = c.SetLinger(0)
		return
	}
	server, ok := s.(*net.TCPConn)
	if !ok {
		return
	}
	defer server.Close()
	var both sync.WaitGroup
	both.Go(func() { k.forward(server, c) })
	both.Go(func() { k.forward(c, server) })
	both.Wait()
}

// forward forwards bytes, and how they end: in order or by a reset.
func (k *link) forward(to, from *net.TCPConn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if k.pass() {
			time.Sleep(linkResend)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
