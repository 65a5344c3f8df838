package membership

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// View is the set of servers at one moment; it takes no lock and may be kept for one decision.
type View struct {
	shards [shardCount][]*Server
}

// All returns each server once, in no order.
func (v *View) All() iter.Seq[*Server] {
	return func(yield func(*Server) bool) {
		for _, all := range v.shards {
			for _, s := range all {
				if !yield(s) {
					return
				}
			}
		}
	}
}

// Server returns the server of an identity and false when it is not known.
func (v View) Server(identity string) (*Server, bool) {
	for _, s := range v.shards[xxhash.Sum64String(identity)%shardCount] {
		if s.announcement.Identity == identity {
			return s, true
		}
	}
	return nil, false
}

// Len returns the number of servers.
func (v *View) Len() int {
	n := 0
	for _, all := range v.shards {
		n += len(all)
	}
	return n
}
