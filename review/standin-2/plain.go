package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// A plain server takes plainWork for a request. It sends the first half of its answer at once, and the rest at the end.
const (
	plainWork  = 3 * time.Second
	plainLines = 40
	plainBeat  = 1200 * time.Millisecond
)

// wholeBody is the whole body of the answer to an attempt.
func wholeBody(attempt string) []byte {
	var b bytes.Buffer
	for n := range plainLines {
		fmt.Fprintf(&b, "line %d of the answer to %s\n", n, attempt)
	}
	return b.Bytes()
}

// runPlain is the process of a plain server. Its answers have no length and end with their channels.
func runPlain(address, id string) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go answerPlain(c, id)
	}
}

func answerPlain(c net.Conn, id string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := bytes.NewBuffer(nil).ReadFrom(q.Body); err != nil {
			return
		}
		if q.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names["instance"], id)
			continue
		}
		attempt := q.Header.Get(names["attempt"])
		body := wholeBody(attempt)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp.%s.%s\r\n%s: %s\r\nConnection: close\r\n\r\n", names["attempt"], attempt, names["stamp"], id, attempt, names["instance"], id)
		_, _ = c.Write(body[:len(body)/2])
		time.Sleep(plainWork)
		_, _ = c.Write(body[len(body)/2:])
		return
	}
}

// plain is a plain server, a process that announces itself. It may be behind a link.
type plain struct {
	place  *place
	id, ip string
	// address is where the process listens.
	address     string
	link        *link
	mu          sync.Mutex
	command     *exec.Cmd
	stopBeating chan struct{}
}

func newPlain(p *place, id, ip string, linked bool) (*plain, error) {
	s := &plain{place: p, id: id, ip: ip, address: ip + ":8100"}
	if linked {
		s.address = ip + ":8200"
		s.link = newLink(ip+":8100", s.address)
	}
	return s, s.boot()
}

// boot starts the server.
func (s *plain) boot() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	c := exec.Command(self, "plain-server", s.address, s.id)
	c.Stderr = os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	up := await(3*time.Second, func() bool {
		x, err := net.Dial("tcp", s.address)
		if err == nil {
			x.Close()
		}
		return err == nil
	})
	if !up {
		return fmt.Errorf("%w: a server didn't start", errNotRun)
	}
	if s.link != nil && !s.link.listens() {
		if err := s.link.open(); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.command, s.stopBeating = c, make(chan struct{})
	go s.announce(time.Now().UnixMilli(), s.stopBeating)
	return nil
}

// announce announces the server until it crashes. The announcements in a cut are lost.
func (s *plain) announce(born int64, stop chan struct{}) {
	for n := 1; ; n++ {
		if s.link != nil {
			s.link.pass()
		}
		s.place.beat(s.id, map[string]any{
			"service": "desk", "address": s.ip + ":8100", "zone": zones[0], "version": "v1", "slots": 40, "state": "ready", "cold_remaining_ms": 0, "sequence": n, "born": born,
		})
		select {
		case <-stop:
			return
		case <-time.After(plainBeat):
		}
	}
}

// crash kills the server.
func (s *plain) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.command == nil {
		return
	}
	close(s.stopBeating)
	if s.link != nil {
		s.link.refuse()
	}
	_ = s.command.Process.Kill()
	_ = s.command.Wait()
	s.command = nil
}
