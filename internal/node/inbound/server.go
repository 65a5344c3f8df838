package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// defaultCheckInterval is the interval of the check for expired connections. Clients are promised at least the
	// timeout, not its exact end.
	defaultCheckInterval = 250 * time.Millisecond
	// SlowCheckInterval is the CheckInterval of listeners whose timeouts are long.
	SlowCheckInterval = 2 * time.Second
	// outerHeaderBytes is the HTTP server's own limit of a head, beyond all limits of listeners.
	outerHeaderBytes = 1 << 30
	// unreadBodyTimeout bounds a body that a handler leaves to the HTTP server, which reads a part of it to keep the
	// connection.
	unreadBodyTimeout = time.Second
)

// Config configures a Server.
type Config struct {
	// Name is the name of the listener in logs and metrics, in kebab case.
	Name string
	// Handler handles the requests.
	Handler http.Handler
	// ReadsBodies is set if the handler reads each body with ReadBody, or refuses it with RefuseBody before a response of
	// more than 2 KB. It saves a timer for each body.
	ReadsBodies bool
	// Account counts the memory of the clients.
	Account Account
	// Connections is how many connections may be open, zero for any number.
	Connections int
	// Limits returns the limits in force. All of them are set.
	Limits func() Limits
	// CheckInterval is the interval of the check for expired connections; 250 ms if zero. Each check wakes the process up.
	CheckInterval time.Duration
	// Refuses returns why new connections are refused, in kebab case, empty if they aren't; nil for never.
	Refuses func() string
	// Metrics receives the counters, nil for none.
	Metrics *metrics.Set
	// Logger receives the events.
	Logger log.Interface
}

// Server serves the clients of one listener.
type Server interface {
	// Serve accepts connections until Close or Shutdown; it returns http.ErrServerClosed then. It closes l and is called once.
	Serve(l net.Listener) error
	// Close closes all connections.
	Close() error
	// Shutdown closes idle connections, interrupts bodies, and waits until the other connections are idle or ctx ends.
	Shutdown(ctx context.Context) error
	// Connections returns the number of open connections.
	Connections() int
	// CloseIdle closes the connections on which no byte of a next request has been read.
	CloseIdle()
	// InterruptBodies ends the reading of bodies; ReadBody returns ErrInterrupted.
	InterruptBodies()
}

type server struct {
	config  Config
	http    *http.Server
	account Account
	conns   *conns
	stop    chan struct{}
	once    sync.Once
	// stopping is set once no more bodies are waited for.
	stopping atomic.Bool

	mu sync.Mutex
	// refused counts the refused connections since the last log line, by reason.
	refused  map[string]int
	loggedAt time.Time
}

// New returns a Server that doesn't listen yet.
func New(c Config) Server {
	if c.CheckInterval == 0 {
		c.CheckInterval = defaultCheckInterval
	}
	s := &server{config: c, account: c.Account, conns: newConns(), stop: make(chan struct{}), refused: map[string]int{}}
	s.http = &http.Server{
		Handler:        http.HandlerFunc(s.handle),
		MaxHeaderBytes: outerHeaderBytes,
		ConnState:      s.stateChanged,
		ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return s
}

// NewPlatformServer returns a Server for health checks and metrics, whose bounds are those of the account. It refuses bodies.
func NewPlatformServer(c Config) Server {
	b := c.Account.bounds()
	c.Connections, c.Limits, c.CheckInterval = b.PlatformConnections, b.PlatformLimits, SlowCheckInterval
	c.Handler, c.ReadsBodies = withoutBody(c.Handler), true
	return New(c)
}

func withoutBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		RefuseBody(w, q)
		h.ServeHTTP(w, q)
	})
}

type connKey struct{}

// connOf returns the connection of a request, nil if another server serves it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// handle calls the handler and bounds the time of a body that the handler leaves to the HTTP server.
func (s *server) handle(w http.ResponseWriter, q *http.Request) {
	if !hasBody(q) {
		s.config.Handler.ServeHTTP(w, q)
		return
	}
	if !s.config.ReadsBodies {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	s.config.Handler.ServeHTTP(w, q)
	if c := connOf(q.Context()); c != nil && !c.isBodyHandled() {
		_ = c.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// Serve implements Server.
func (s *server) Serve(l net.Listener) error {
	go s.expire()
	return s.http.Serve(listener{l, s})
}

// Close implements Server.
func (s *server) Close() error {
	s.once.Do(func() { close(s.stop) })
	return s.http.Close()
}

// Shutdown implements Server.
func (s *server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	s.InterruptBodies()
	err := s.http.Shutdown(ctx)
	s.once.Do(func() { close(s.stop) })
	return err
}

// Connections implements Server.
func (s *server) Connections() int { return s.conns.count() }

// CloseIdle implements Server.
func (s *server) CloseIdle() { s.conns.closeIdle() }

// InterruptBodies implements Server.
func (s *server) InterruptBodies() {
	s.conns.interruptBodies()
	s.account.interrupt(s)
}

// expire applies the timeouts in force until the server is closed.
func (s *server) expire() {
	t := time.NewTicker(s.config.CheckInterval)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-t.C:
			s.conns.expire(now, s.config.Limits(), s.account.ended)
			if s.stopping.Load() {
				// A body may have begun right after the others were interrupted.
				s.InterruptBodies()
			}
		}
	}
}

// stateChanged applies a state change that the HTTP server reports for a connection.
func (s *server) stateChanged(n net.Conn, state http.ConnState) {
	c, ok := n.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setServing()
	case http.StateIdle:
		s.account.releaseAll(c)
		c.setIdle()
	case http.StateClosed, http.StateHijacked:
		s.conns.remove(c)
		s.account.remove(c)
	}
}
