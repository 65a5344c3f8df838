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
)

// Others is what the other entries have at each engine, as this entry knows it.
type Others interface {
	// Post returns the next post of this entry's loads, and false when nothing has changed since the last.
	Post(own Loads, force bool) (Post, bool)
	// Take takes a sum.
	Take(s Sum, now time.Time)
	// Load returns the others' load at the engine.
	Load(server string, now time.Time) Load
}

type others struct {
	entry string
	mu    sync.Mutex
	last  uint64
	posts map[uint64]Loads
	loads map[uint32]Load
	taken time.Time
}

// NewOthers returns the Others of the entry of that name.
func NewOthers(entry string) Others {
	return &others{entry: entry, posts: map[uint64]Loads{}}
}

// Post implements Others.
func (o *others) Post(own Loads, force bool) (Post, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !force && maps.Equal(own, o.posts[o.last]) {
		return Post{}, false
	}
	o.last++
	o.posts[o.last] = own
	delete(o.posts, o.last-keptPosts)
	return Post{Entry: o.entry, Number: o.last, Loads: own}, true
}

// Take implements Others.
//
// The sum holds this entry's own load as it was some posts ago. Taking the
// present one out instead would count what was sent since then against others.
func (o *others) Take(s Sum, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.posts[s.Posts[hash(o.entry)]]
	o.loads = maps.Clone(s.Loads)
	for server, l := range own {
		h := hash(server)
		if total, ok := o.loads[h]; ok {
			o.loads[h] = total.Minus(l)
		}
	}
	o.taken = now
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
