package rpc

import (
	"context"
	"errors"
	"path/filepath"
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/keys"
)

type ping struct {
	Text string `cbor:"text"`
}

var (
	echo   = Method[ping, ping]{Name: "echo", Roles: []keys.Role{keys.Entry}}
	secret = Method[ping, ping]{Name: "secret", Roles: []keys.Role{keys.Control}}
	stuck  = Method[ping, ping]{Name: "stuck", Roles: []keys.Role{keys.Entry}}
	hello  = Notice[ping]{Name: "hello", Roles: []keys.Role{keys.Entry}}
)

func newNode(t testing.TB, folder, name string) Node {
	t.Helper()
	a, err := keys.LoadAuthority(folder)
	if err != nil {
		t.Fatal(err)
	}
	i, err := a.Issue(keys.Request{Name: name, Role: keys.Entry, Valid: time.Hour}, folder)
	if err != nil {
		t.Fatal(err)
	}
	r, err := keys.NewRing(keys.Config{CertificateFile: i.CertificateFile, KeyFile: i.KeyFile, AuthorityFile: filepath.Join(folder, keys.AuthorityCertificate)})
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(Config{Listen: "127.0.0.1:0", Ring: r})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func newAuthority(t testing.TB) string {
	t.Helper()
	folder := t.TempDir()
	if _, err := keys.NewAuthority(folder, time.Hour); err != nil {
		t.Fatal(err)
	}
	return folder
}

func serve(t testing.TB, n Node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func TestCallAndNotice(t *testing.T) {
	folder := newAuthority(t)
	server, client := newNode(t, folder, "entry-1"), newNode(t, folder, "entry-2")
	noticed := make(chan string, 1)
	Handle(server, echo, func(_ context.Context, p Peer, q ping) (ping, error) { return ping{Text: p.Name + ":" + q.Text}, nil })
	Receive(server, hello, func(p Peer, q ping) { noticed <- p.Name + ":" + q.Text })
	serve(t, server)
	got, err := Call(t.Context(), client, server.Address(), echo, ping{Text: "a"})
	if err != nil || got.Text != "entry-2:a" {
		t.Fatalf("got %+v, %v", got, err)
	}
	if err := Notify(t.Context(), client, server.Address(), hello, ping{Text: "b"}); err != nil {
		t.Fatal(err)
	}
	if got := <-noticed; got != "entry-2:b" {
		t.Errorf("notice %q", got)
	}
}

// A caller may retry a request only if the failure guarantees that it was never
// executed, so each kind of failure must have the correct verdict.
func TestVerdictsOfFailedCalls(t *testing.T) {
	folder := newAuthority(t)
	server, client := newNode(t, folder, "entry-1"), newNode(t, folder, "entry-2")
	arrived := make(chan struct{})
	Handle(server, secret, func(context.Context, Peer, ping) (ping, error) { return ping{}, nil })
	Handle(server, stuck, func(ctx context.Context, _ Peer, _ ping) (ping, error) {
		close(arrived)
		<-ctx.Done()
		return ping{}, ctx.Err()
	})
	Handle(server, echo, func(context.Context, Peer, ping) (ping, error) {
		return ping{}, verdict.New(verdict.Ran, 409, "twice", "it ran before").WithCause(errors.New("local"))
	})
	serve(t, server)

	_, err := Call(t.Context(), client, server.Address(), secret, ping{})
	if e, _ := verdict.As(err); e.Verdict != verdict.NotRun || e.Code != "forbidden-role" {
		t.Errorf("foreign role: %v", err)
	}
	_, err = Call(t.Context(), client, server.Address(), echo, ping{})
	if e, _ := verdict.As(err); e.Verdict != verdict.Ran || e.Code != "twice" {
		t.Errorf("refused by the handler: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	if _, err = Call(ctx, client, server.Address(), stuck, ping{}); verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("answer lost: %v", err)
	}
	ctx, cancel = context.WithCancel(t.Context())
	cancel()
	if _, err = Call(ctx, client, "127.0.0.1:1", echo, ping{}); verdict.Of(err) != verdict.NotRun {
		t.Errorf("unreachable: %v", err)
	}
}

// A process without a certificate of the fleet's authority must not be able to
// call a method.
func TestForeignAuthorityIsRefused(t *testing.T) {
	server := newNode(t, newAuthority(t), "entry-1")
	client := newNode(t, newAuthority(t), "entry-2")
	called := false
	Handle(server, echo, func(context.Context, Peer, ping) (ping, error) {
		called = true
		return ping{}, nil
	})
	serve(t, server)
	if _, err := Call(t.Context(), client, server.Address(), echo, ping{}); err == nil || called {
		t.Errorf("a foreign node was answered: %v", err)
	}
}
