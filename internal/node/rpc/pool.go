package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// pool holds one outgoing connection per address.
type pool struct {
	transport *quic.Transport
	tls       *tls.Config
	quic      *quic.Config
	// idle is how long a connection without users is kept, zero for ever.
	idle   time.Duration
	closed chan struct{}
	mu     sync.Mutex
	slots  map[string]*slot
}

// slot lets one caller dial an address while the others wait, each until its own
// deadline. A mutex would block them for the full handshake timeout of a dead peer.
type slot struct {
	sem  chan struct{}
	conn atomic.Pointer[quic.Conn]
	// users counts the streams in use, releasedAt is when the last one was released, in Unix nanoseconds.
	users, releasedAt atomic.Int64
}

// release ends a use of the connection.
func (s *slot) release() {
	s.releasedAt.Store(time.Now().UnixNano())
	s.users.Add(-1)
}

// closeIdle closes the connection if it has no users since before.
func (s *slot) closeIdle(before time.Time) {
	select {
	case s.sem <- struct{}{}:
	default:
		return
	}
	defer s.unlock()
	if c := s.conn.Load(); c != nil && s.users.Load() == 0 && s.releasedAt.Load() < before.UnixNano() {
		_ = c.CloseWithError(0, "idle")
		s.conn.Store(nil)
	}
}

func (s *slot) lock(ctx context.Context) error {
	select {
	case s.sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *slot) unlock() {
	<-s.sem
}

func newPool(t *quic.Transport, c *tls.Config, q *quic.Config, idle time.Duration) *pool {
	p := &pool{transport: t, tls: c, quic: q, idle: idle, closed: make(chan struct{}), slots: make(map[string]*slot)}
	go func() {
		w := newSilenceWatch()
		ticker := time.NewTicker(silenceInterval)
		defer ticker.Stop()
		for {
			select {
			case <-p.closed:
				return
			case now := <-ticker.C:
				p.closeIdle(now)
				w.check(p.connections())
			}
		}
	}()
	return p
}

// connections returns the outgoing connections that are not being dialed.
func (p *pool) connections() []*quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*quic.Conn
	for _, s := range p.slots {
		if c := s.conn.Load(); c != nil && c.Context().Err() == nil {
			all = append(all, c)
		}
	}
	return all
}

// closeIdle closes the connections without users.
func (p *pool) closeIdle(now time.Time) {
	if p.idle <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.slots {
		s.closeIdle(now.Add(-p.idle))
	}
}

// use returns the connection and keeps it open until release is called.
func (p *pool) use(ctx context.Context, address string) (c *quic.Conn, release func(), err error) {
	s := p.slot(address)
	s.users.Add(1)
	if c, err = p.get(ctx, address); err != nil {
		s.release()
		return nil, nil, err
	}
	return c, s.release, nil
}

func (p *pool) slot(address string) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.slots[address]
	if !ok {
		s = &slot{sem: make(chan struct{}, 1)}
		p.slots[address] = s
	}
	return s
}

func (p *pool) get(ctx context.Context, address string) (*quic.Conn, error) {
	s := p.slot(address)
	if err := s.lock(ctx); err != nil {
		return nil, err
	}
	defer s.unlock()
	if c := s.conn.Load(); c != nil && c.Context().Err() == nil {
		return c, nil
	}
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	c, err := p.transport.Dial(ctx, a, p.tls, p.quic)
	if err != nil {
		return nil, err
	}
	s.conn.Store(c)
	return c, nil
}

func (p *pool) close() {
	close(p.closed)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.slots {
		_ = s.lock(context.Background())
		if c := s.conn.Load(); c != nil {
			_ = c.CloseWithError(0, "closing")
		}
		s.unlock()
	}
}
