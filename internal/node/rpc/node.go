package rpc

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/quic-go/quic-go"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/node/keys"
)

// Protocol is the TLS application protocol of this package.
const Protocol = "hornbeamwood/1"

const (
	keepAlive        = time.Second
	idleTimeout      = 5 * time.Second
	handshakeTimeout = 2 * time.Second
	maxStreams       = 4096
	// streamWindow is how many bytes of a Stream may be unread, and streamsWindow those of all on one connection,
	// so that the streams that are read go on beside about a thousand of which nothing is read.
	streamWindow  = 64 << 10
	streamsWindow = 1024 * streamWindow
	// idleStreamsTimeout is how long a connection for Streams is kept without any.
	idleStreamsTimeout = 10 * time.Second
)

// Config configures a Node.
type Config struct {
	// Listen is the UDP address to listen on, as IP:port.
	Listen string
	// Ring holds the node's keys.
	Ring keys.Ring
	// Logger receives the events; nil disables them.
	Logger log.Interface
	// Metrics receives the counters; nil disables them.
	Metrics *metrics.Set
}

// Node is one process's QUIC endpoint. It makes and serves calls on one UDP socket.
type Node interface {
	// Serve accepts connections until ctx ends. Handlers must be registered before it is called.
	Serve(ctx context.Context) error
	// Address returns the UDP address that the node listens on.
	Address() string
	// BytesSent returns the number of bytes sent on the UDP socket, without IP and UDP headers.
	BytesSent() int64
	// Close closes all connections and the socket.
	Close() error

	register(name string, h rawHandler)
	call(ctx context.Context, address string, q request) ([]byte, error)
	open(ctx context.Context, address string, q request) ([]byte, Stream, error)
	notify(ctx context.Context, address, name string, body []byte) error
}

type node struct {
	config    Config
	transport *quic.Transport
	conn      *countingConn
	handlers  map[string]rawHandler
	pool      *pool
	// streams are the connections for outgoing Streams.
	streams *pool
	running sync.WaitGroup

	mu       sync.Mutex
	accepted map[*quic.Conn]struct{}
}

// New returns a Node that listens on the configured address.
func New(c Config) (Node, error) {
	a, err := net.ResolveUDPAddr("udp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("rpc: listen address %q: %w", c.Listen, err)
	}
	s, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, fmt.Errorf("rpc: %w", err)
	}
	// A killed process restarts under its old address. With a reset key that is the
	// same after the restart, its reply to packets of old connections closes them at
	// the peers immediately. Otherwise the peers' messages are lost until the idle
	// timeout.
	reset := quic.StatelessResetKey(c.Ring.ResetKey())
	conn := &countingConn{UDPConn: s}
	t := &quic.Transport{Conn: conn, StatelessResetKey: &reset}
	n := &node{
		config:    c,
		transport: t,
		conn:      conn,
		handlers:  make(map[string]rawHandler),
		accepted:  make(map[*quic.Conn]struct{}),
	}
	n.pool = newPool(t, c.Ring.TLS(Protocol), quicConfig(), 0)
	n.streams = newPool(t, c.Ring.TLS(Protocol), streamsConfig(), idleStreamsTimeout)
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		KeepAlivePeriod:       keepAlive,
		MaxIdleTimeout:        idleTimeout,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: maxStreams,
		EnableDatagrams:       true,
	}
}

// streamsConfig is the configuration of connections that carry Streams.
func streamsConfig() *quic.Config {
	c := quicConfig()
	c.InitialStreamReceiveWindow, c.MaxStreamReceiveWindow = streamWindow, streamWindow
	c.InitialConnectionReceiveWindow, c.MaxConnectionReceiveWindow = streamsWindow, streamsWindow
	return c
}

// Address implements Node.
func (n *node) Address() string {
	return n.transport.Conn.LocalAddr().String()
}

// BytesSent implements Node.
func (n *node) BytesSent() int64 {
	return n.conn.sent.Load()
}

// Close implements Node.
func (n *node) Close() error {
	n.pool.close()
	n.streams.close()
	n.closeAccepted()
	err := n.transport.Close()
	n.running.Wait()
	if e := n.transport.Conn.Close(); err == nil {
		err = e
	}
	return err
}

// trackAccepted tracks an accepted connection until it ends.
func (n *node) trackAccepted(c *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accepted[c] = struct{}{}
	context.AfterFunc(c.Context(), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.accepted, c)
	})
}

// closeAccepted closes the accepted connections, so that the peers send their next message to this process's successor.
func (n *node) closeAccepted() {
	n.mu.Lock()
	all := slices.Collect(maps.Keys(n.accepted))
	n.mu.Unlock()
	for _, c := range all {
		_ = c.CloseWithError(0, "closing")
	}
}

func (n *node) register(name string, h rawHandler) {
	n.handlers[name] = h
}

// acceptsStreams returns whether a method opens streams.
func (n *node) acceptsStreams() bool {
	for _, h := range n.handlers {
		if h.open != nil {
			return true
		}
	}
	return false
}

// Serve implements Node.
func (n *node) Serve(ctx context.Context) error {
	q := quicConfig()
	if n.acceptsStreams() {
		q = streamsConfig()
	}
	l, err := n.transport.Listen(n.config.Ring.TLS(Protocol), q)
	if err != nil {
		return fmt.Errorf("rpc: listen: %w", err)
	}
	defer l.Close()
	for {
		c, err := l.Accept(ctx)
		if err != nil {
			return ctx.Err()
		}
		event.PeerConnected.Write(n.config.Logger, log.Fields{"peer": peerOf(c.ConnectionState().TLS, c.RemoteAddr().String()).Name})
		n.trackAccepted(c)
		n.running.Go(func() { n.acceptCalls(ctx, c) })
		n.running.Go(func() { n.acceptNotices(ctx, c) })
	}
}
