package tunnel

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/rpc"
)

const (
	// dialTimeout bounds Dial, as it would a direct connection.
	dialTimeout = 400 * time.Millisecond
	// nextPeerDelay is how long a peer may take before the next one is asked as well.
	nextPeerDelay = 60 * time.Millisecond
	// maxAsked bounds the peers that are asked for one connection, and maxTried those of them that try to connect.
	// One that fails to may itself be cut off, so that its failure doesn't count alone.
	maxAsked = 6
	maxTried = 2
	// reasonSlow is the reason to avoid a peer that gave no answer.
	reasonSlow = "slow"
)

// attempt is the outcome of asking one peer.
type attempt struct {
	peer   Peer
	stream rpc.Stream
	err    error
}

// dial is one connection that is being established.
type dial struct {
	*tunnels
	request  request
	attempts chan attempt
	asked    int
	// pending are the peers that haven't answered, in the order in which they were asked.
	pending []Peer
	// refused and unreachable are the peers that tried to connect.
	refused, unreachable []Peer
}

// Dial implements Tunnels.
func (t *tunnels) Dial(ctx context.Context, server, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := &dial{tunnels: t, request: request{Server: server, Address: address}, attempts: make(chan attempt, maxAsked)}
	c, err := d.run(ctx, t.peers.get(ctx))
	go d.closeRest()
	if err != nil {
		event.TunnelFailed.Write(t.Logger, log.Fields{"server": server, "asked": d.asked, "refused": len(d.refused), "unreachable": len(d.unreachable), "error": err.Error()})
		return nil, err
	}
	return c, nil
}

// run asks the peers, one after the other unless they are slow, until one has connected.
func (d *dial) run(ctx context.Context, all []Peer) (net.Conn, error) {
	all = all[:min(maxAsked, len(all))]
	if len(all) == 0 {
		return nil, ErrNoPeer
	}
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, d.failure(ctx.Err())
		case <-next.C:
			if d.mayAsk(all) {
				d.ask(ctx, all[d.asked])
				next.Reset(nextPeerDelay)
			}
		case a := <-d.attempts:
			if a.err == nil {
				d.avoidFailed(a.peer)
				return d.newConn(a.stream, a.peer.Address, d.request.Address), nil
			}
			d.record(a)
			if len(d.pending) == 0 && !d.mayAsk(all) {
				return nil, d.failure(a.err)
			}
			next.Reset(0)
		}
	}
}

// mayAsk returns whether another peer may be asked. Those that were asked may still connect if not.
func (d *dial) mayAsk(all []Peer) bool {
	return d.asked < len(all) && len(d.refused)+len(d.unreachable) < maxTried
}

// ask asks the peer for a connection.
func (d *dial) ask(ctx context.Context, p Peer) {
	d.asked++
	d.pending = append(d.pending, p)
	go func() {
		_, s, err := rpc.Open(ctx, d.Node, p.Address, open, d.request)
		d.attempts <- attempt{peer: p, stream: s, err: err}
	}()
}

// record records why the peer gave no connection.
func (d *dial) record(a attempt) {
	d.pending = slices.DeleteFunc(d.pending, func(p Peer) bool { return p == a.peer })
	e, _ := verdict.As(a.err)
	switch e.Code {
	case codeRefused:
		d.refused = append(d.refused, a.peer)
	case codeUnreachable:
		d.unreachable = append(d.unreachable, a.peer)
	case codeBusy:
		d.peers.avoid(a.peer.Address, e.Code, avoidBusyFor)
	case codeUnknown, codeBackoff:
		// This concerns one server.
	default:
		d.peers.avoid(a.peer.Address, e.Code, avoidFor)
	}
}

// avoidFailed avoids the peers that couldn't connect, or were slower to than one that was asked later.
func (d *dial) avoidFailed(connected Peer) {
	for _, p := range slices.Concat(d.refused, d.unreachable) {
		d.peers.avoid(p.Address, codeCutOff, avoidFor)
	}
	for _, p := range d.pending[:slices.Index(d.pending, connected)] {
		d.peers.avoid(p.Address, reasonSlow, avoidFor)
	}
	d.pending = slices.DeleteFunc(d.pending, func(p Peer) bool { return p == connected })
}

// failure returns the error for what the peers have answered.
func (d *dial) failure(cause error) error {
	reason := ErrNoPeer
	switch {
	case len(d.unreachable) > 0, len(d.refused) > 0 && len(d.pending) > 0:
		reason = ErrUnreachable
	case len(d.refused) > 0:
		reason = ErrRefused
	}
	if cause == nil {
		return reason
	}
	return fmt.Errorf("%w (%d asked): %w", reason, d.asked, cause)
}

// closeRest closes the connections that other peers establish too late.
func (d *dial) closeRest() {
	for range d.pending {
		if a := <-d.attempts; a.err == nil {
			_ = a.stream.Close()
		}
	}
}
