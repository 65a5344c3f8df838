package share

import (
	"sync"
	"time"
)

// postTimeout is how long an entry's last post counts; an entry posts several
// times as often, and one that was lost must not keep engines busy for ever.
const postTimeout = 1500 * time.Millisecond

// Aggregator adds posts up.
type Aggregator interface {
	// Add takes a post; an older one than the last changes nothing.
	Add(p Report, now time.Time)
	// Sum returns the sum of the posts that count.
	Sum(now time.Time) Sum
}

type posted struct {
	post Report
	at   time.Time
}

type adder struct {
	mu    sync.Mutex
	posts map[string]posted
}

// NewAggregator returns an Adder without posts.
func NewAggregator() Aggregator {
	return &adder{posts: map[string]posted{}}
}

// Add implements Adder.
func (a *adder) Add(p Report, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Sequence > a.posts[p.Entry].post.Sequence {
		a.posts[p.Entry] = posted{p, now}
	}
}

// Sum implements Adder.
func (a *adder) Sum(now time.Time) Sum {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Sum{Loads: map[uint32]Load{}, Sequences: map[uint32]uint64{}}
	for entry, p := range a.posts {
		if now.Sub(p.at) > postTimeout {
			delete(a.posts, entry)
			continue
		}
		s.Sequences[hash(entry)] = p.post.Sequence
		for server, l := range p.post.Loads {
			h := hash(server)
			s.Loads[h] = s.Loads[h].Plus(l)
		}
	}
	return s
}
