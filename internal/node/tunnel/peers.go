package tunnel

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
)

const (
	// refreshAfter is the age from which the list of peers is fetched again while it is in use, and expireAfter
	// that from which a dial waits for it.
	refreshAfter = 3 * time.Second
	expireAfter  = 15 * time.Second
	// fetchTimeout bounds one fetch of the list, and fetchWait how long a dial waits for it that has an old one.
	fetchTimeout = time.Second
	fetchWait    = 100 * time.Millisecond
	// avoidFor is how long a peer that gave no connection comes after the others, and avoidBusyFor how long one
	// does that has too many.
	avoidFor     = 2 * time.Second
	avoidBusyFor = 100 * time.Millisecond
	// minNear is how many peers of the own zone are asked before others. Fewer would have to carry the load of
	// all entries of the zone that are cut off.
	minNear = 3
)

// peers is the list of the entries that can be asked.
type peers struct {
	zone   string
	source func(ctx context.Context) ([]Peer, error)
	logger log.Interface

	mu        sync.Mutex
	list      []Peer
	fetchedAt time.Time
	// fetched is closed when the running fetch ends, nil without one.
	fetched chan struct{}
	// avoided is until when each peer comes after the others.
	avoided map[string]time.Time
}

func newPeers(c Config) *peers {
	return &peers{zone: c.Zone, source: c.Peers, logger: c.Logger, avoided: map[string]time.Time{}}
}

// get returns the peers in the order in which they should be asked.
func (p *peers) get(ctx context.Context) []Peer {
	p.mu.Lock()
	age := time.Since(p.fetchedAt)
	if age > refreshAfter && p.fetched == nil {
		p.fetched = make(chan struct{})
		go p.fetch()
	}
	fetched, empty := p.fetched, len(p.list) == 0
	p.mu.Unlock()
	if age > expireAfter {
		if !empty {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, fetchWait)
			defer cancel()
		}
		select {
		case <-fetched:
		case <-ctx.Done():
		}
	}
	return p.ordered(time.Now())
}

// fetch replaces the list. After a failure the previous one is kept.
func (p *peers) fetch() {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	list, err := p.source(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.fetched)
	p.fetched = nil
	if err != nil || len(list) == 0 {
		return
	}
	p.list, p.fetchedAt = list, time.Now()
	for address, until := range p.avoided {
		if p.fetchedAt.After(until) {
			delete(p.avoided, address)
		}
	}
}

// ordered returns the peers in random order, alternately from the own zone and the others unless few of the own are
// left, and the avoided ones last.
//
// A fault often affects many entries of a zone, so the second one asked is in another.
func (p *peers) ordered(now time.Time) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var near, far, avoided []Peer
	for _, i := range rand.Perm(len(p.list)) {
		switch peer := p.list[i]; {
		case now.Before(p.avoided[peer.Address]):
			avoided = append(avoided, peer)
		case peer.Zone == p.zone:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	all := make([]Peer, 0, len(p.list))
	if len(near) < minNear {
		all = append(append(all, near...), far...)
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return append(all, avoided...)
	}
	for i := range max(len(near), len(far)) {
		if i < len(near) {
			all = append(all, near[i])
		}
		if i < len(far) {
			all = append(all, far[i])
		}
	}
	return append(all, avoided...)
}

// avoid has the peer come after the others for a while.
func (p *peers) avoid(address, reason string, d time.Duration) {
	now := time.Now()
	p.mu.Lock()
	first := !now.Before(p.avoided[address])
	p.avoided[address] = now.Add(d)
	p.mu.Unlock()
	if first {
		event.TunnelPeerAvoided.Write(p.logger, log.Fields{"peer": address, "reason": reason})
	}
}
