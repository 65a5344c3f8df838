package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Gossip decides which messages this entry sends to the other entries of its cell.
//
// Each entry pushes the announcements that it received directly. Pulls fetch
// what pushes have missed, and bound the offset between the peers' clocks and
// the local clock. The stamp of a push dates its contents, so that a message
// delayed for seconds in a broken connection can't make an old announcement
// look new.
type Gossip interface {
	// SetPeers sets the identities of the other entries of the cell.
	SetPeers(peers []string)
	// Outgoing returns the messages that are due at now; it is called about every 50 ms.
	Outgoing(now time.Time) []Envelope
	// Receive merges a message from a peer and returns the replies to send.
	Receive(now time.Time, from string, m Message) []Envelope
	// PushLeaving makes the next Outgoing push the leaving state of a server to all peers; it is called after a MergeResult with Leaving set.
	PushLeaving(identity string)
	// Work returns the counts of the requests sent to each server.
	Work() Work
}

// staticPushTime is how long pushes of a server include a changed static part; peers that miss it fetch it by a pull.
const staticPushTime = 2 * time.Second

// pull is a Pull whose Answer is outstanding.
type pull struct {
	peer string
	sent time.Time
}

type gossip struct {
	config  GossipConfig
	work    *work
	mu      sync.Mutex
	random  *rand.Rand
	peers   []string
	next    int
	pushDue time.Time
	pullDue time.Time
	round   uint64
	pulls   map[uint64]pull
	clocks  map[string]*peerClock
	pushed  map[Key]Version
}

// NewGossip returns a Gossip over the given Table.
func NewGossip(c GossipConfig) (Gossip, error) {
	if c.Self == "" || c.Table == nil || c.Random == nil {
		return nil, fmt.Errorf("membership: gossip needs an identity, a table and a random source")
	}
	c.PushInterval = orDefault(c.PushInterval, DefaultPushInterval)
	c.PullInterval = orDefault(c.PullInterval, DefaultPullInterval)
	c.PullTimeout = orDefault(c.PullTimeout, DefaultPullTimeout)
	return &gossip{
		config: c,
		work:   newWork(c.Start),
		random: c.Random,
		pulls:  map[uint64]pull{},
		clocks: map[string]*peerClock{},
		pushed: map[Key]Version{},
	}, nil
}

// SetPeers implements Gossip.
func (g *gossip) SetPeers(peers []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers = slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return p == g.config.Self })
	g.next = 0
	g.shuffle()
	clocks := make(map[string]*peerClock, len(g.peers))
	for _, p := range g.peers {
		clocks[p] = &peerClock{}
		if known := g.clocks[p]; known != nil {
			clocks[p] = known
		}
	}
	g.clocks = clocks
}

func (g *gossip) shuffle() {
	g.random.Shuffle(len(g.peers), func(i, j int) { g.peers[i], g.peers[j] = g.peers[j], g.peers[i] })
}

// Work implements Gossip.
func (g *gossip) Work() Work {
	return g.work
}

// PushLeaving implements Gossip.
func (g *gossip) PushLeaving(string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pushDue = time.Time{}
}

// Outgoing implements Gossip.
func (g *gossip) Outgoing(now time.Time) []Envelope {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.peers) == 0 {
		return nil
	}
	var out []Envelope
	if !now.Before(g.pushDue) {
		g.pushDue = now.Add(g.pushTime())
		out = g.push(now)
	}
	if !now.Before(g.pullDue) {
		g.pullDue = now.Add(g.config.PullInterval / g.pullSpeedup())
		out = append(out, g.pull(now))
	}
	return out
}

func (g *gossip) pushTime() time.Duration {
	return max(g.config.PushInterval, time.Duration(len(g.peers))*pushPerPeer)
}

// pullSpeedup returns the factor by which pulls are sped up while some peer's clock has no bound.
func (g *gossip) pullSpeedup() time.Duration {
	for _, c := range g.clocks {
		if !c.bounded() {
			return 4
		}
	}
	return 1
}

func (g *gossip) stamp(now time.Time) Stamp {
	return Stamp{Incarnation: g.config.Incarnation, Millis: now.Sub(g.config.Start).Milliseconds()}
}

// push returns one Push to each peer if there is anything to send.
func (g *gossip) push(now time.Time) []Envelope {
	p := &Push{Stamp: g.stamp(now), Rows: g.changedRows(now), Work: g.work.unreported()}
	if len(p.Rows) == 0 && len(p.Work) == 0 {
		return nil
	}
	out := make([]Envelope, 0, len(g.peers)+1)
	for _, n := range g.peers {
		out = append(out, Envelope{To: n, Message: Message{Push: p}})
	}
	return out
}

// changedRows returns rows of the servers that announced a change directly since the last Push, with their static parts where those are new.
func (g *gossip) changedRows(now time.Time) []Row {
	var rows []Row
	view := g.config.Table.View()
	for s := range view.All() {
		v := s.version()
		if !s.direct || v == g.pushed[s.key] {
			continue
		}
		g.pushed[s.key] = v
		rows = append(rows, newRow(now, s, now.Sub(s.staticSince) < staticPushTime))
	}
	if len(g.pushed) > 2*view.Len()+shardCount {
		clear(g.pushed)
	}
	return rows
}

// pull returns the next pull; every peer gets one pull before the order is shuffled again.
func (g *gossip) pull(now time.Time) Envelope {
	if g.next >= len(g.peers) {
		g.next = 0
		g.shuffle()
	}
	p := g.peers[g.next]
	g.next++
	g.round++
	for r, x := range g.pulls {
		if now.Sub(x.sent) > g.config.PullTimeout {
			delete(g.pulls, r)
		}
	}
	g.pulls[g.round] = pull{peer: p, sent: now}
	view := g.config.Table.View()
	all := make([]Version, 0, view.Len())
	for s := range view.All() {
		all = append(all, s.version())
	}
	return Envelope{To: p, Message: Message{Pull: &Pull{Round: g.round, Versions: all}}}
}
