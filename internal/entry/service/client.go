package service

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/ledger"
	"hornbeamwood/internal/node/httphead"
)

// Client calls plain services.
type Client interface {
	// Call returns the complete answer to r, or a verdict.Error.
	Call(ctx context.Context, r Request) (Answer, error)
	// Abandon marks the claims of an entry's incarnations up to the given one as unknown and returns their number.
	Abandon(ctx context.Context, entry string, incarnation uint64) (int, error)
	// OpenCalls returns the number of claimed calls whose outcome has not been recorded yet.
	OpenCalls() int
	// Drain waits until no call is claimed any more and none is open; it returns an error when ctx ends first.
	Drain(ctx context.Context) error
}

type client struct {
	Config
	transport http.RoundTripper
	// incarnation is Config.Incarnation until the ledger refuses it as stale.
	incarnation atomic.Uint64
	// running are the goroutines that claim, dispatch and record calls.
	running   sync.WaitGroup
	mu        sync.Mutex
	openCalls int
}

// New returns a Client; missing values of c get their defaults.
func New(c Config) Client {
	c = c.withDefaults()
	k := &client{
		Config: c,
		transport: httphead.NewTransport(&http.Transport{
			DialContext:            func(ctx context.Context, _, address string) (net.Conn, error) { return c.Dial(ctx, address) },
			MaxIdleConnsPerHost:    maxIdleConns,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		}),
	}
	k.incarnation.Store(c.Incarnation)
	return k
}

// Call implements Client.
func (c *client) Call(ctx context.Context, r Request) (Answer, error) {
	if !r.Rules.NonIdempotent {
		return c.callIdempotent(ctx, r)
	}
	if r.Key == "" || len(r.Key) > ledger.MaxKey {
		return Answer{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "idempotency-key-required",
			"the service runs each call at most once and needs an Idempotency-Key of 1 to %d bytes", ledger.MaxKey)
	}
	return c.callOnce(ctx, r)
}

// OpenCalls implements Client.
func (c *client) OpenCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openCalls
}

// Drain implements Client.
func (c *client) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// trackOpen counts a claimed call as open until the returned function is called for the first time.
func (c *client) trackOpen() (settled func()) {
	c.mu.Lock()
	c.openCalls++
	c.mu.Unlock()
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.openCalls--
	})
}

// write logs one event about r.
func (c *client) write(e event.Event, r Request, f log.Fields) {
	f["request"] = r.ID
	f["workspace"] = r.Workspace
	f["service"] = r.Service
	e.Write(c.Logger, f)
}

// deadline returns the time limit for the answer to r.
func (c *client) deadline(r Request) time.Duration {
	if r.Rules.Deadline > 0 {
		return r.Rules.Deadline
	}
	return c.CallTimeout
}
