package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/node/dial"
	"hornbeamwood/internal/node/tunnel"
	"hornbeamwood/internal/policy/reach"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/site/document"
)

// noPeers is a tunnel that no other entry answers.
type noPeers struct{}

// Dial implements dial.Tunnel.
func (noPeers) Dial(context.Context, string, string) (net.Conn, error) {
	return nil, tunnel.ErrNoPeer
}

// pathsWithFailures are paths on which several servers have failed, so that the failure of a connection says little about
// its server.
func pathsWithFailures() reach.Paths {
	p, now := reach.New(), time.Now()
	for i := range 2 {
		p.Record(reach.Attempt{Address: fmt.Sprint("other-", i), Outcome: reach.Failed, Began: now, Ended: now})
	}
	return p
}

// dieAfter sends the head of a stream and the text, and dies.
func dieAfter(head, text string) script {
	return func(s *scriptedServer, c net.Conn, q *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: x\r\nContent-Type: text/event-stream\r\n%s\r\n%s", q.Header.Get("A-Id"), head, text)
		s.die()
		return false
	}
}

// replaceTime is longer than the least time from the end of a process to its successor at the same address.
const replaceTime = 120 * time.Millisecond

// restartOnceRefused starts the server again at its address after a connection to it was refused.
func (f *fixture) restartOnceRefused(t *testing.T, x script) <-chan *scriptedServer {
	t.Helper()
	restarted := make(chan *scriptedServer, 1)
	v := f.site.servers[0]
	go func() {
		for f.config.Client.RefusedAt(backend.Target{ID: v.ID, Address: v.Address}).IsZero() {
			if !wait.For(t.Context(), time.Millisecond) {
				return
			}
		}
		wait.For(t.Context(), replaceTime)
		if l, err := net.Listen("tcp", v.Address); err == nil {
			restarted <- newScriptedServer(t, l, x)
		}
	}()
	return restarted
}

// Guards against a stream that goes on at a server which has restarted with other software, where the connection that it
// refused meanwhile was to prove an end, or didn't show whether the server or the path was lost.
func TestStreamLeavesServersThatRefusedAnyConnection(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: a\n\n"
	for _, c := range []struct {
		name   string
		script script
		dialer func(p reach.Paths) backend.Dialer
	}{
		{"proof of an end", dieAfter("", events), func(p reach.Paths) backend.Dialer { return dial.New(dial.Config{Paths: p}) }},
		{"no path", dieAfter("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(events), events)), func(p reach.Paths) backend.Dialer {
			return dial.New(dial.Config{Paths: p, Tunnel: noPeers{}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.script)
			f.site.restartsAfterRefusal = true
			f.setRoute("resume", func(r *document.Route) { r.Timeout = time.Second })
			p := pathsWithFailures()
			f.restart(t, func(x *Config) {
				x.Client = backend.New(backend.Config{Belongs: func(string, http.Header) bool { return true }, Dialer: c.dialer(p), Paths: p})
				t.Cleanup(x.Client.Close)
			})
			restarted := f.restartOnceRefused(t, answerEvents("b", 0))
			if g := f.request(t, "r1", http.MethodPost, "/resume/x"); g.err == nil || g.body != events {
				t.Errorf("got %q, error %v", g.body, g.err)
			}
			if n := (<-restarted).count(); n != 0 {
				t.Errorf("%d requests reached the restarted server", n)
			}
		})
	}
}
