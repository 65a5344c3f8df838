package service

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/policy/suspicion"
	"hornbeamwood/internal/settings/rules"
)

// lossGuard records the servers that were lost and refuses everything once refusing is set.
type lossGuard struct {
	noGuard
	mu       sync.Mutex
	lost     []string
	ended    int
	refusing error
}

func (g *lossGuard) Check(time.Time, suspicion.Fingerprint) error { return g.refusing }

func (g *lossGuard) Ended(_ context.Context, _ time.Time, _ suspicion.Fingerprint, server string, e Ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended++
	if e == Lost {
		g.lost = append(g.lost, server)
	}
}

// onlyServer picks one server.
type onlyServer Server

func (o onlyServer) Pick(context.Context, Request, []string) (Server, error) { return Server(o), nil }

// Guards against a server that counts as lost because it broke off a response, because its caller left or because
// it refused the call, and against one that was lost and doesn't count.
func TestOnlyLostServersCountAgainstACall(t *testing.T) {
	breakOff := func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			c.Close()
		}
	}
	for name, x := range map[string]struct {
		handler http.HandlerFunc
		// crashed is set if the server accepts no connection after the call.
		crashed bool
		lost    int
	}{
		"broken off": {breakOff, false, 0},
		"crashed":    {breakOff, true, 1},
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(verdict.Header, verdict.NotRun.String())
			w.WriteHeader(http.StatusServiceUnavailable)
		}, false, 0},
		"too late": {func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }, false, 0},
	} {
		var h *httptest.Server
		h = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if x.crashed {
				h.Listener.Close()
			}
			x.handler(w, q)
		}))
		address := strings.TrimPrefix(h.URL, "http://")
		g := &lossGuard{}
		c := New(Config{Picker: onlyServer{Identity: "s", Address: address}, Guard: g})
		r := Request{ID: "r", Workspace: "w", Service: "status", Method: http.MethodGet, Path: "/", Rules: rules.Rules{Deadline: 300 * time.Millisecond}}
		if _, err := c.Call(context.Background(), r); err == nil {
			t.Errorf("%s: the call succeeded", name)
		}
		if len(g.lost) != x.lost || g.ended != 1 {
			t.Errorf("%s: lost %v, %d runs ended", name, g.lost, g.ended)
		}
		g.refusing = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "request-quarantined", "refused")
		if _, err := c.Call(context.Background(), r); err == nil || verdict.Of(err) != verdict.NotRun || g.ended != 1 {
			t.Errorf("%s: a quarantined call got %v", name, err)
		}
		h.Close()
	}
}
