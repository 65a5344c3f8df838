package share

import (
	"maps"
	"sync"
	"time"
)

const (
	// keptPosts is how many of its posts an entry remembers, to take out of a sum what is its own.
	keptPosts = 64
	// sumTimeout is how long a sum counts without a newer one: until the next holder
	// of the lease tells one, and three of the longest pauses between sums of a
	// thousand engines.
	sumTimeout = 2500 * time.Millisecond
	// lagWeight is the part of the newest measurement in the mean lag.
	lagWeight = 0.2
)

// PeerLoads is what the other entries have at each engine, as this entry knows it.
type PeerLoads interface {
	// NextReport returns the next post of this entry's loads, and false when nothing has changed since the last.
	NextReport(own Loads, force bool, now time.Time) (Report, bool)
	// Apply takes a sum.
	Apply(s Sum, now time.Time)
	// Load returns the others' load at the engine.
	Load(server string, now time.Time) Load
	// PropagationDelay returns how long it takes until entries hear what one of them has posted, zero before it was seen.
	PropagationDelay() time.Duration
}

// kept is a post that this entry has made.
type kept struct {
	loads Loads
	at    time.Time
}

type others struct {
	entry string
	mu    sync.Mutex
	last  uint64
	posts map[uint64]kept
	loads map[uint32]Load
	taken time.Time
	// heard is the number of this entry's latest post that has come back in a sum, lag the mean time that one took.
	heard uint64
	lag   time.Duration
}

// NewPeerLoads returns the Others of the entry of that name.
func NewPeerLoads(entry string) PeerLoads {
	return &others{entry: entry, posts: map[uint64]kept{}}
}

// NextReport implements Others.
func (o *others) NextReport(own Loads, force bool, now time.Time) (Report, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !force && maps.Equal(own, o.posts[o.last].loads) {
		return Report{}, false
	}
	o.last++
	o.posts[o.last] = kept{own, now}
	delete(o.posts, o.last-keptPosts)
	return Report{Entry: o.entry, Sequence: o.last, Loads: own}, true
}

// Apply implements Others.
//
// The sum holds this entry's own load as it was some posts ago. Taking the
// present one out instead would count what was sent since then against others.
func (o *others) Apply(s Sum, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	number := s.Sequences[hash(o.entry)]
	own, ok := o.posts[number]
	if ok && number > o.heard {
		o.measure(now.Sub(own.at))
		o.heard = number
	}
	o.loads = maps.Clone(s.Loads)
	for server, l := range own.loads {
		h := hash(server)
		if total, ok := o.loads[h]; ok {
			o.loads[h] = total.Minus(l)
		}
	}
	o.taken = now
}

// measure takes how long a post took to come back.
func (o *others) measure(lag time.Duration) {
	if o.lag == 0 {
		o.lag = lag
		return
	}
	o.lag += time.Duration(lagWeight * float64(lag-o.lag))
}

// PropagationDelay implements Others.
func (o *others) PropagationDelay() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lag
}

// Load implements Others.
func (o *others) Load(server string, now time.Time) Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.taken) > sumTimeout {
		return Load{}
	}
	return o.loads[hash(server)]
}
