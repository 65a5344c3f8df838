package rpc

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"hornbeamwood/internal/node/keys"
)

// restarted starts a node with the given key files on the address listen and serves until
// the returned function is called. That function simulates a kill unless graceful is true.
func restarted(t *testing.T, c keys.Config, listen string, graceful bool) (Node, func()) {
	t.Helper()
	r, err := keys.NewRing(c)
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(Config{Listen: listen, Ring: r})
	if err != nil {
		t.Fatal(err)
	}
	Handle(n, echo, func(_ context.Context, _ Peer, q ping) (ping, error) { return q, nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer func() { done <- struct{}{} }()
		_ = n.Serve(ctx)
	}()
	return n, func() {
		if !graceful {
			// A killed process sends nothing, and its socket is closed immediately.
			_ = n.(*node).transport.Conn.Close()
		}
		cancel()
		<-done
		if graceful {
			_ = n.Close()
		}
	}
}

// A process is killed or stopped and restarts under its old address. Its peers
// still hold connections to the old process. Messages on them would be lost, and
// for seconds the new process would appear unresponsive.
func TestPeersFindARestartedProcessAtOnce(t *testing.T) {
	// After a rest quic-go has sent all its probes of the MTU, which are large enough for a reset.
	const rest = 3 * time.Second
	for name, c := range map[string]struct {
		graceful bool
		rest     time.Duration
	}{"killed": {}, "stopped": {graceful: true}, "killed after a rest": {rest: rest}} {
		t.Run(name, func(t *testing.T) {
			graceful := c.graceful
			folder := newAuthority(t)
			a, err := keys.LoadAuthority(folder)
			if err != nil {
				t.Fatal(err)
			}
			i, err := a.Issue(keys.Request{Name: "entry-1", Role: keys.Entry, Valid: time.Hour}, folder)
			if err != nil {
				t.Fatal(err)
			}
			ring := keys.Config{CertificateFile: i.CertificateFile, KeyFile: i.KeyFile, AuthorityFile: folder + "/" + keys.AuthorityCertificate}
			first, end := restarted(t, ring, "127.0.0.1:0", graceful)
			address := first.Address()
			client := newNode(t, folder, "entry-2")
			if _, err := Call(t.Context(), client, address, echo, ping{}); err != nil {
				t.Fatal(err)
			}
			old, err := client.(*node).pool.get(t.Context(), address)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(c.rest)
			end()
			_, endSecond := restarted(t, ring, address, true)
			defer endSecond()
			// A keep-alive or a probe of the client triggers the reset of the old connection.
			<-old.Context().Done()
			var idle *quic.IdleTimeoutError
			if cause := context.Cause(old.Context()); errors.As(cause, &idle) {
				t.Fatalf("the old connection ended by its idle timeout: %v", cause)
			}
			if _, err := Call(t.Context(), client, address, echo, ping{}); err != nil {
				t.Fatal(err)
			}
		})
	}
}
