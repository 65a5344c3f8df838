package share

import (
	"sync"
	"time"
)

// postTimeout is how long an entry's last post counts; an entry posts several
// times as often, and one that was lost must not keep engines busy for ever.
const postTimeout = 1500 * time.Millisecond

// Adder adds posts up.
type Adder interface {
	// Take takes a post; an older one than the last changes nothing.
	Take(p Post, now time.Time)
	// Sum returns the sum of the posts that count.
	Sum(now time.Time) Sum
}

type posted struct {
	post Post
	at   time.Time
}

type adder struct {
	mu    sync.Mutex
	posts map[string]posted
}

// NewAdder returns an Adder without posts.
func NewAdder() Adder {
	return &adder{posts: map[string]posted{}}
}

// Take implements Adder.
func (a *adder) Take(p Post, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Number > a.posts[p.Entry].post.Number {
		a.posts[p.Entry] = posted{p, now}
	}
}

// Sum implements Adder.
func (a *adder) Sum(now time.Time) Sum {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Sum{Loads: map[uint32]Load{}, Posts: map[uint32]uint64{}}
	for entry, p := range a.posts {
		if now.Sub(p.at) > postTimeout {
			delete(a.posts, entry)
			continue
		}
		s.Posts[hash(entry)] = p.post.Number
		for server, l := range p.post.Loads {
			h := hash(server)
			s.Loads[h] = s.Loads[h].Plus(l)
		}
	}
	return s
}
