package quic

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/outbox"
	"hornbeamwood/internal/node/rpc"
)

const (
	// interval is the time between two sends of due messages.
	interval = 50 * time.Millisecond
	// sendTimeout limits one message to an entry that does not answer.
	sendTimeout = time.Second
	// outboxLength limits the messages queued for one entry; later gossip makes up for dropped ones.
	outboxLength = 64
)

// gossip carries one message between two entries.
var gossip = rpc.Notice[membership.Message]{
	Name:  "fleet-gossip",
	Roles: []keys.Role{keys.Entry},
}

// Config holds the dependencies of a Carrier.
type Config struct {
	// Node sends and receives the messages.
	Node rpc.Node
	// Gossip decides which messages are sent.
	Gossip membership.Gossip
	// Addresses maps the names of the other entries of the cell to their addresses.
	Addresses map[string]string
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
}

// Carrier sends and receives gossip until it is closed.
type Carrier interface {
	// Close ends the goroutines.
	Close()
}

type carrier struct {
	Config
	cancel  context.CancelFunc
	running sync.WaitGroup
	outbox  outbox.Outbox[membership.Message]
}

// New registers the receiver and starts sending; it must be called before the node serves.
func New(c Config) Carrier {
	ctx, cancel := context.WithCancel(context.Background())
	r := &carrier{Config: c, cancel: cancel}
	r.outbox = outbox.New(outbox.Config[membership.Message]{Length: outboxLength, Send: r.send})
	c.Gossip.SetPeers(slices.Collect(maps.Keys(c.Addresses)))
	rpc.Receive(c.Node, gossip, func(p rpc.Peer, m membership.Message) {
		r.post(c.Gossip.Receive(c.Now(), p.Name, m))
	})
	r.running.Go(func() { r.tick(ctx) })
	return r
}

// Close implements Carrier.
func (r *carrier) Close() {
	r.cancel()
	r.running.Wait()
	r.outbox.Close()
}

func (r *carrier) tick(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.post(r.Gossip.Outgoing(r.Now()))
		}
	}
}

// post queues messages for their destination entries.
func (r *carrier) post(all []membership.Envelope) {
	for _, e := range all {
		if a, ok := r.Addresses[e.To]; ok {
			r.outbox.Post(a, e.Message)
		}
	}
}

func (r *carrier) send(ctx context.Context, address string, m membership.Message) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	// A lost message delays its contents by one round; the next pull requests them again.
	_ = rpc.Notify(ctx, r.Node, address, gossip, m)
}
