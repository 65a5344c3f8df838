package tunnel

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hornbeamwood/internal/node/rpc"
)

// noticeTimeout bounds the connection to the entry that gets a notice.
const noticeTimeout = time.Second

// Tunnels connects through other entries, and for them.
type Tunnels interface {
	// Dial connects to the server through another entry. The connection is a *Conn; an error wraps ErrRefused,
	// ErrUnreachable or ErrNoPeer.
	//
	// As on a direct connection, reads return io.EOF only after the server has ended its bytes.
	Dial(ctx context.Context, server, address string) (net.Conn, error)
	// ReportBackoff tells the entry at via that the server requested a backoff in response to a request through it.
	ReportBackoff(via, server string, d time.Duration)
	// Open returns how many tunnels of this entry are open.
	Open() int
	// Served returns how many tunnels of other entries are open.
	Served() int
}

type tunnels struct {
	Config
	peers        *peers
	open, served atomic.Int64
	bytes        *metrics.Counter
}

// New registers the calls and returns Tunnels; call it before the node serves.
func New(c Config) Tunnels {
	t := &tunnels{Config: c, peers: newPeers(c)}
	t.bytes = c.Metrics.NewCounter("hornbeamwood_tunnel_served_bytes_total")
	c.Metrics.NewGauge("hornbeamwood_tunnels", func() float64 { return float64(t.Open()) })
	c.Metrics.NewGauge("hornbeamwood_tunnels_served", func() float64 { return float64(t.Served()) })
	rpc.Accept(c.Node, open, t.accept)
	rpc.Receive(c.Node, backoffNotice, func(_ rpc.Peer, b requestedBackoff) { t.applyBackoff(b) })
	return t
}

// Open implements Tunnels.
func (t *tunnels) Open() int { return int(t.open.Load()) }

// Served implements Tunnels.
func (t *tunnels) Served() int { return int(t.served.Load()) }

// ReportBackoff implements Tunnels.
func (t *tunnels) ReportBackoff(via, server string, d time.Duration) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		// Without the notice the other entry learns of the backoff by a request of its own.
		_ = rpc.Notify(ctx, t.Node, via, backoffNotice, requestedBackoff{Server: server, For: d})
	}()
}

func (t *tunnels) applyBackoff(b requestedBackoff) {
	if _, ok := t.Server(b.Server); ok && b.For > 0 {
		t.RecordBackoff(b.Server, b.For)
	}
}
