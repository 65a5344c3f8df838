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

// MaxSingleRelayEntries is up to how many entries have one relay together: with fewer, the way
// from relay to relay costs more time than the work of one takes.
const MaxSingleRelayEntries = 32

// LargeSitePause is the time between two messages of one process to another of a site of
// more entries, where each of them has several such peers: what all spend on news
// together grows with their number only.
const LargeSitePause = 100 * time.Millisecond

// passedOn is of how many holders of the lease entries are told: the present one, and
// the one before it until the present one has told of every store.
const passedOn = 2

// Mirrors are a relay's copies of what replicas show of stores and orders, which it
// passes on to the entries that it serves.
//
// A replica that has just got the lease owes every entry all that lies in all stores:
// on a large site more than its processor bears beside the heartbeats of the control log.
type Mirrors interface {
	// BeginPoll notes that the replica at address is about to be asked.
	BeginPoll(address string)
	// Apply takes the replica's answer.
	Apply(address string, a Answer)
	// AcknowledgedRevision returns the replica's number up to which all entries have the rows that asked within the given time.
	AcknowledgedRevision(address string, within time.Duration) uint64
}

// MirrorsConfig is what Copies need.
type MirrorsConfig struct {
	// Node takes the polls.
	Node rpc.Node
	// Relayed returns whether rows of the topic are passed on.
	Relayed func(t rowtable.Topic) bool
	// Pause returns the time between two rounds of answers to so many entries.
	Pause func(entries int) time.Duration
}

type copies struct {
	MirrorsConfig
	// now reads the boot clock.
	now func() time.Duration

	mu  sync.Mutex
	all map[string]*replicaCopy
	// asking is when each replica was last asked, entries when each entry asked, by now.
	asking  map[string]time.Duration
	entries map[string]time.Duration
	rounds  rounds
	signal  chan struct{}
}

// NewMirrors registers the call and returns Copies of nothing; it is called before the node serves.
func NewMirrors(c MirrorsConfig) Mirrors {
	x := newCopies(c, boottime.Now)
	rpc.Handle(c.Node, HolderStates, x.leads)
	return x
}

func newCopies(c MirrorsConfig, now func() time.Duration) *copies {
	return &copies{
		MirrorsConfig: c, now: now, all: map[string]*replicaCopy{},
		asking: map[string]time.Duration{}, entries: map[string]time.Duration{}, signal: make(chan struct{}),
	}
}

// BeginPoll implements Copies.
func (x *copies) BeginPoll(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.asking[address] = x.now()
}

// Apply implements Copies.
func (x *copies) Apply(address string, a Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := x.all[address]
	if !ok || c.epoch != a.Epoch {
		c = &replicaCopy{epoch: a.Epoch, board: rowtable.New(uint64(time.Now().UnixNano())), entries: map[string]position{}}
		x.all[address] = c
	}
	changed := false
	for _, r := range a.Rows {
		if x.Relayed(r.Topic) {
			c.last = max(c.last, c.board.Put(r.Topic, r.Key, r.Value))
			changed = true
		}
	}
	c.note(a.Revision)
	if a.Fencing != 0 {
		changed = changed || a.Fencing != c.fencing
		c.fencing = a.Fencing
	}
	if a.Fencing != 0 && !a.More {
		c.asked = x.asking[address]
	}
	if changed {
		close(x.signal)
		x.signal = make(chan struct{})
	}
}

// AcknowledgedRevision implements Copies.
func (x *copies) AcknowledgedRevision(address string, within time.Duration) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := x.all[address]
	if !ok {
		return 0
	}
	least := c.last
	for name, p := range c.entries {
		if x.now()-p.asked > within {
			delete(c.entries, name)
			continue
		}
		least = min(least, p.number)
	}
	return c.origin(least)
}

// leads answers an entry.
func (x *copies) leads(ctx context.Context, _ rpc.Peer, p HolderStatesPoll) ([]HolderState, error) {
	ctx, cancel := context.WithTimeout(ctx, min(max(p.Wait, 0), maxWait))
	defer cancel()
	x.note(p)
	if x.await(ctx, p) && !p.CatchingUp {
		x.mu.Lock()
		at := x.rounds.next(time.Now(), x.Pause(len(x.entries)))
		x.mu.Unlock()
		time.Sleep(time.Until(at))
	}
	return x.since(p.Positions), nil
}

// since returns what a watcher lacks that has the copies up to its positions.
func (x *copies) since(known map[string]Position) []HolderState {
	x.mu.Lock()
	defer x.mu.Unlock()
	var all []HolderState
	for _, address := range x.holders() {
		c := x.all[address]
		l := c.lead(address, known[address])
		l.Age = x.now() - c.asked
		all = append(all, l)
	}
	return all
}

// holders returns the addresses of the latest holders of the lease, the present one
// first; the caller holds the lock.
func (x *copies) holders() []string {
	var all []string
	for address, c := range x.all {
		if c.fencing != 0 {
			all = append(all, address)
		}
	}
	slices.SortFunc(all, func(a, b string) int { return cmp.Compare(x.all[b].fencing, x.all[a].fencing) })
	return all[:min(len(all), passedOn)]
}

// note remembers how far the entry is.
func (x *copies) note(p HolderStatesPoll) {
	now := x.now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.entries[p.Watcher] = now
	for name, at := range x.entries {
		if now-at > watcherTimeout {
			delete(x.entries, name)
		}
	}
	for address, c := range x.all {
		number := uint64(0)
		if k := p.Positions[address]; k.Epoch == c.board.Epoch() {
			number = k.Revision
		}
		c.entries[p.Watcher] = position{number, now}
	}
}

// await waits until there is something that the entry lacks; false when ctx ends before.
func (x *copies) await(ctx context.Context, p HolderStatesPoll) bool {
	for {
		x.mu.Lock()
		signal, news := x.signal, x.behind(p)
		x.mu.Unlock()
		if news {
			return true
		}
		select {
		case <-signal:
		case <-ctx.Done():
			return false
		}
	}
}

// behind returns whether the entry lacks anything; the caller holds the lock.
func (x *copies) behind(p HolderStatesPoll) bool {
	for _, address := range x.holders() {
		c, k := x.all[address], p.Positions[address]
		if k.Epoch != c.board.Epoch() || c.board.ChangedAfter(k.Revision) {
			return true
		}
	}
	return false
}
