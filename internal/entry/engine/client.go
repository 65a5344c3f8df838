package engine

import (
	"context"
	"net"
	"net/http"
	"sync"

	"hornbeamwood/internal/node/httphead"
)

// Client runs attempts at engines.
type Client interface {
	// Run starts the attempt at the engine with the given IP and port and returns
	// its stream, or a verdict.Error. When ctx ends, the run is cancelled.
	Run(ctx context.Context, address string, r Request) (Stream, error)
	// Wait returns when all cancel requests have been answered or have timed out.
	Wait()
}

type client struct {
	Config
	transport http.RoundTripper
	pending   sync.WaitGroup
}

// New returns a Client; missing values of c get their defaults.
func New(c Config) Client {
	c = c.withDefaults()
	t := c.Transport
	if t == nil {
		t = httphead.NewTransport(&http.Transport{
			DialContext:            func(ctx context.Context, _, address string) (net.Conn, error) { return c.Dial(ctx, address) },
			MaxIdleConnsPerHost:    maxIdleConns,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		})
	}
	return &client{Config: c, transport: t}
}

// Run implements Client.
func (c *client) Run(ctx context.Context, address string, r Request) (Stream, error) {
	s := newStream(ctx, c, address, r)
	if err := s.open(false); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Wait implements Client.
func (c *client) Wait() {
	c.pending.Wait()
}

// cancelRun asks the engine to stop the attempt. If only the connection were
// closed, the attempt would run until its time for a resume has expired.
func (c *client) cancelRun(address, attempt string) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		ctx, cancel := context.WithTimeout(context.Background(), c.CancelTimeout)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/runs/"+attempt, nil)
		if err != nil {
			return
		}
		response, err := c.transport.RoundTrip(r)
		if err != nil {
			return
		}
		response.Body.Close()
	}()
}
