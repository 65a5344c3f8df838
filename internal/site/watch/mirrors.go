package watch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"hornbeamwood/internal/node/boottime"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/site/rowtable"
)

// MaxSingleRelayEntries is the largest number of entries that share a single relay. On smaller
// sites the hop between relays would cost more time than one relay needs for all the work.
const MaxSingleRelayEntries = 32

// LargeSiteInterval is the time between two messages from one process to another on a site with
// more than MaxSingleRelayEntries entries. Each process has several such peers; with this
// interval the total cost of updates grows only linearly with the number of processes.
const LargeSiteInterval = 100 * time.Millisecond

// relayedHolders is the number of latest lease holders whose rows are relayed: the current one,
// and its predecessor, which is needed until the current one has reported every store.
const relayedHolders = 2

// Mirrors are a relay's copies of other replicas' rows about stores and orders, which it
// relays to the entries that it serves.
//
// A replica that has just acquired the lease must send every entry the parts of all stores.
// On a large site that takes more CPU than it has besides the heartbeats of the control log.
type Mirrors interface {
	// BeginPoll records that the replica at address is about to be polled.
	BeginPoll(address string)
	// Apply applies the replica's answer to its mirror.
	Apply(address string, a Answer)
	// AcknowledgedRevision returns the replica's revision up to which all entries that polled within the given time have the rows.
	AcknowledgedRevision(address string, within time.Duration) uint64
}

// MirrorsConfig configures Mirrors.
type MirrorsConfig struct {
	// Node serves the polls.
	Node rpc.Node
	// Relayed returns whether rows of the topic are relayed.
	Relayed func(t rowtable.Topic) bool
	// RoundInterval returns the time between two rounds of answers to the given number of entries.
	RoundInterval func(entries int) time.Duration
}

type mirrors struct {
	MirrorsConfig
	// now reads the boot clock.
	now func() time.Duration
	// startedAt is when this process started, by now.
	startedAt time.Duration

	mu       sync.Mutex
	replicas map[string]*replicaMirror
	// polledAt is when each replica was last polled, entries when each entry polled, by now.
	polledAt map[string]time.Duration
	entries  map[string]time.Duration
	rounds   rounds
	signal   chan struct{}
}

// NewMirrors registers the call and returns empty Mirrors; call it before the node serves.
func NewMirrors(c MirrorsConfig) Mirrors {
	x := newMirrors(c, boottime.Now)
	rpc.Handle(c.Node, HolderStates, x.serveHolderStates)
	return x
}

func newMirrors(c MirrorsConfig, now func() time.Duration) *mirrors {
	return &mirrors{
		MirrorsConfig: c, now: now, startedAt: now(), replicas: map[string]*replicaMirror{},
		polledAt: map[string]time.Duration{}, entries: map[string]time.Duration{}, signal: make(chan struct{}),
	}
}

// BeginPoll implements Mirrors.
func (x *mirrors) BeginPoll(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.polledAt[address] = x.now()
}

// Apply implements Mirrors.
func (x *mirrors) Apply(address string, a Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	m, ok := x.replicas[address]
	if !ok || m.epoch != a.Epoch {
		m = &replicaMirror{epoch: a.Epoch, table: rowtable.New(uint64(time.Now().UnixNano())), entries: map[string]position{}}
		x.replicas[address] = m
	}
	changed := false
	for _, r := range a.Rows {
		if x.Relayed(r.Topic) {
			// A row that was sent has changed since the last answer, even if it has an earlier value again.
			m.last = m.table.Renew(r.Topic, r.Key, r.Value)
			changed = true
		}
	}
	m.recordRevision(a.Revision)
	if a.Fencing != 0 {
		changed = changed || a.Fencing != m.fencing
		m.fencing = a.Fencing
	}
	if a.Fencing != 0 && !a.More {
		m.polledAt = x.polledAt[address]
	}
	if changed {
		close(x.signal)
		x.signal = make(chan struct{})
	}
}

// AcknowledgedRevision implements Mirrors.
//
// Entries of this relay's earlier process that haven't polled yet aren't known, and may use what they got from it.
func (x *mirrors) AcknowledgedRevision(address string, within time.Duration) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	m, ok := x.replicas[address]
	if !ok || x.now()-x.startedAt < within {
		return 0
	}
	least := m.last
	for name, p := range m.entries {
		if x.now()-p.polledAt > within {
			delete(m.entries, name)
			continue
		}
		least = min(least, p.revision)
	}
	return m.sourceRevision(least)
}

// serveHolderStates answers the poll of an entry.
func (x *mirrors) serveHolderStates(ctx context.Context, _ rpc.Peer, p HolderStatesPoll) ([]HolderState, error) {
	ctx, cancel := context.WithTimeout(ctx, min(max(p.Wait, 0), maxWait))
	defer cancel()
	x.recordPoll(p)
	if x.await(ctx, p) && !p.CatchingUp {
		x.mu.Lock()
		at := x.rounds.next(time.Now(), x.RoundInterval(len(x.entries)))
		x.mu.Unlock()
		time.Sleep(time.Until(at))
	}
	return x.holderStatesSince(p.Positions), nil
}

// holderStatesSince returns the rows that a watcher with mirrors at the known positions lacks.
func (x *mirrors) holderStatesSince(positions map[string]Position) []HolderState {
	x.mu.Lock()
	defer x.mu.Unlock()
	var all []HolderState
	for _, address := range x.holders() {
		m := x.replicas[address]
		state := m.holderState(address, positions[address])
		state.Age = x.now() - m.polledAt
		all = append(all, state)
	}
	return all
}

// holders returns the addresses of the latest lease holders, the current one
// first; the caller holds the lock.
func (x *mirrors) holders() []string {
	var all []string
	for address, m := range x.replicas {
		if m.fencing != 0 {
			all = append(all, address)
		}
	}
	slices.SortFunc(all, func(a, b string) int { return cmp.Compare(x.replicas[b].fencing, x.replicas[a].fencing) })
	return all[:min(len(all), relayedHolders)]
}

// recordPoll records which positions the entry has.
func (x *mirrors) recordPoll(p HolderStatesPoll) {
	now := x.now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.entries[p.Watcher] = now
	for name, at := range x.entries {
		if now-at > watcherTimeout {
			delete(x.entries, name)
		}
	}
	for address, m := range x.replicas {
		revision := uint64(0)
		if k := p.Positions[address]; k.Epoch == m.table.Epoch() {
			revision = k.Revision
		}
		m.entries[p.Watcher] = position{revision, now}
	}
}

// await waits until there are rows that the entry lacks, and returns false when ctx ends first.
func (x *mirrors) await(ctx context.Context, p HolderStatesPoll) bool {
	for {
		x.mu.Lock()
		signal, behind := x.signal, x.behind(p)
		x.mu.Unlock()
		if behind {
			return true
		}
		select {
		case <-signal:
		case <-ctx.Done():
			return false
		}
	}
}

// behind returns whether the entry lacks any rows; the caller holds the lock.
func (x *mirrors) behind(p HolderStatesPoll) bool {
	for _, address := range x.holders() {
		m, k := x.replicas[address], p.Positions[address]
		if k.Epoch != m.table.Epoch() || m.table.ChangedAfter(k.Revision) {
			return true
		}
	}
	return false
}
