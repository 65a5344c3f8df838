package sitecontrol

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hornbeamwood/internal/node/inbound"
)

// Guards against an operator's or server's call that a stopping replica has read and cuts without an answer.
func TestCallIsAnsweredBeforeTheEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	p := &process{}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		stop()
		time.Sleep(answerTimeout / 3)
		_, _ = io.WriteString(w, "answered")
	})
	s := inbound.New(inbound.Config{Handler: h, Account: inbound.NewAccount(inbound.AccountConfig{}), Limits: clientLimits(inbound.Bounds{}.WithDefaults())})
	if err := p.listen(ctx, address, inbound.Bounds{}, s); err != nil {
		t.Fatal(err)
	}
	r, err := http.Get("http://" + address + "/")
	if err != nil {
		t.Fatalf("the call was cut: %v", err)
	}
	defer r.Body.Close()
	if b, err := io.ReadAll(r.Body); err != nil || string(b) != "answered" {
		t.Errorf("got %q, %v", b, err)
	}
	start := time.Now()
	p.loops.Wait()
	if took := time.Since(start); took > 2*answerTimeout {
		t.Errorf("the process waited %s for its callers", took)
	}
}
