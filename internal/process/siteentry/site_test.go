package siteentry

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/parts"
)

func quietSite() *site {
	return newSite(&log.Logger{Handler: discard.New()}, parts.NewMemory(), share.NewOthers("e"), func() {})
}

// All processes were killed and are back; the operator's document is there before
// the first server has announced itself again. A request that is refused in that
// moment comes back later than the server does.
func TestRequestsOfANewProcessWaitForTheFirstServer(t *testing.T) {
	s := quietSite()
	announced := time.AfterFunc(30*time.Millisecond, func() {
		s.takeServer(directory.Server{ID: "a", Born: 1, Service: "x", Address: "a:1"})
	})
	defer announced.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s.AwaitServers(ctx, "x")
	if ctx.Err() != nil || len(s.Servers("x")) != 1 {
		t.Error("the request went on without a server")
	}
	s.began = s.began.Add(-uninformed)
	began := time.Now()
	s.AwaitServers(ctx, "none")
	if time.Since(began) > time.Second {
		t.Error("a process that knows its site waits for a service without servers")
	}
}
