package siteentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/node/tunnel"
	"hornbeamwood/internal/site/watch"
)

const (
	// peersTimeout bounds the call of one replica for other entries.
	peersTimeout = 200 * time.Millisecond
	// liveReplicaTimeout is how long ago the last answer of a replica that is called may be.
	liveReplicaTimeout = 2 * time.Second
)

var errNoReplica = errors.New("no control replica answers")

// newTunnels returns the connections to servers through other entries.
func (p *process) newTunnels(watcher string) tunnel.Tunnels {
	return tunnel.New(tunnel.Config{
		Node: p.node, Zone: p.config.Host.Zone,
		Peers:         func(ctx context.Context) ([]tunnel.Peer, error) { return p.otherEntries(ctx, watcher) },
		Server:        p.serverAddress,
		Connect:       p.config.Dial,
		CutOff:        p.cutOff,
		InBackoff:     func(server string) bool { return p.backoffs.Active(server, time.Now()) },
		RecordBackoff: p.recordBackoff,
		Stopping:      p.stopping,
		Metrics:       p.metrics,
		Logger:        p.config.Logger,
	})
}

// otherEntries returns some other entries, as the first replica that answers knows them.
func (p *process) otherEntries(ctx context.Context, watcher string) ([]tunnel.Peer, error) {
	replicas := p.addresses()
	err := errNoReplica
	for _, i := range rand.Perm(len(replicas)) {
		if ago, ok := p.follower.SinceAnswer(replicas[i]); !ok || ago > liveReplicaTimeout {
			continue
		}
		var peers []tunnel.Peer
		if peers, err = p.askForEntries(ctx, replicas[i], watcher); err == nil {
			return peers, nil
		}
	}
	return nil, err
}

func (p *process) askForEntries(ctx context.Context, replica, watcher string) ([]tunnel.Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	all, err := rpc.Call(ctx, p.node, replica, watch.Peers, watch.PeersQuery{Watcher: watcher, Zone: p.config.Host.Zone})
	peers := make([]tunnel.Peer, len(all))
	for i, e := range all {
		peers[i] = tunnel.Peer{Address: e.Address, Zone: e.Zone}
	}
	return peers, err
}

// serverAddress returns the address of a server that requests may be sent to.
func (p *process) serverAddress(id string) (string, bool) {
	v, ok := p.site.Server(id)
	return v.Address, ok
}

// cutOff returns whether the entry's own connections to the server fail.
func (p *process) cutOff(id string) bool {
	address, ok := p.serverAddress(id)
	return ok && p.paths.CutOff(address)
}

// recordBackoff records a backoff that a server requested in response to another entry's request, and wakes requests
// that wait for it afterwards.
func (p *process) recordBackoff(server string, d time.Duration) {
	now := time.Now()
	if p.backoffs.Request(server, d, now) {
		event.ServerBackoff.Write(p.config.Logger, log.Fields{"server": server, "backoff-ms": d.Milliseconds()})
	}
	time.AfterFunc(p.backoffs.Wait(server, now), p.queue.LocalCapacityFreed)
}
