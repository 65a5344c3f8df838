package quic

import (
	"context"
	"sync"
	"time"

	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

const (
	// interval is how often due messages are sent.
	interval = 50 * time.Millisecond
	// sendTimeout bounds one message to an entry that does not answer.
	sendTimeout = time.Second
	// outboxLength bounds what waits for one entry; gossip repeats what is dropped.
	outboxLength = 64
)

// gossip carries one message between two entries.
var gossip = rpc.Notice[membership.Message]{
	Name:  "fleet-gossip",
	Roles: []keys.Role{keys.Entry},
}

// Config is what a Carrier needs.
type Config struct {
	// Node sends and receives.
	Node rpc.Node
	// Gossip decides what is sent.
	Gossip membership.Gossip
	// Addresses maps the names of the other entries of the cell to their addresses.
	Addresses map[string]string
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
}

// Carrier carries gossip until it is closed.
type Carrier interface {
	// Close ends the goroutines.
	Close()
}

type carrier struct {
	Config
	cancel   context.CancelFunc
	running  sync.WaitGroup
	outboxes map[string]chan membership.Message
}

// New registers the receiver and starts to send; it is called before the node serves.
func New(c Config) Carrier {
	ctx, cancel := context.WithCancel(context.Background())
	r := &carrier{Config: c, cancel: cancel, outboxes: make(map[string]chan membership.Message)}
	names := make([]string, 0, len(c.Addresses))
	for n, a := range c.Addresses {
		names = append(names, n)
		o := make(chan membership.Message, outboxLength)
		r.outboxes[n] = o
		r.running.Go(func() { r.drain(ctx, a, o) })
	}
	c.Gossip.SetPeers(names)
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

// post queues messages; one entry that does not answer must not hold up what the others hear.
func (r *carrier) post(all []membership.Envelope) {
	for _, e := range all {
		select {
		case r.outboxes[e.To] <- e.Message:
		default:
		}
	}
}

func (r *carrier) drain(ctx context.Context, address string, o chan membership.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o:
			r.send(ctx, address, m)
		}
	}
}

func (r *carrier) send(ctx context.Context, address string, m membership.Message) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	// A lost message costs one round; the next pull asks for the same again.
	_ = rpc.Notify(ctx, r.Node, address, gossip, m)
}
