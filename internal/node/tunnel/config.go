package tunnel

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/node/rpc"
)

// Peer is another entry.
type Peer struct {
	// Address is the address of its rpc.Node.
	Address string
	// Zone is its availability zone, empty if unknown.
	Zone string
}

// Config configures Tunnels.
type Config struct {
	// Node connects the entries.
	Node rpc.Node
	// Zone is this entry's availability zone.
	Zone string
	// Peers returns some other entries. It is called only while connections through them are wanted.
	Peers func(ctx context.Context) ([]Peer, error)
	// Server returns the address of a server that requests may be sent to.
	Server func(id string) (address string, ok bool)
	// Connect connects to a server directly.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// CutOff returns whether this entry's own connections to the server fail; nil means never.
	CutOff func(server string) bool
	// InBackoff returns whether the server has requested a backoff of this entry.
	InBackoff func(server string) bool
	// RecordBackoff records that the server requested a backoff in response to a request through this entry.
	RecordBackoff func(server string, d time.Duration)
	// Stopping returns whether the process is about to end.
	Stopping func() bool
	// Metrics receives the counters.
	Metrics *metrics.Set
	// Logger receives the events; nil disables them.
	Logger log.Interface
}
