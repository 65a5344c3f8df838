package membership

import (
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is a snapshot of the servers; it takes no lock and may be kept for one decision.
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

// Server returns the server with the given identity, and false if it is unknown.
func (v View) Server(identity string) (*Server, bool) {
	for _, s := range v.shards[xxhash.Sum64String(identity)%shardCount] {
		if s.announcement.Identity == identity {
			return s, true
		}
	}
	return nil, false
}

// Recheck returns Eligible if the server that was chosen from an earlier view may still get the request, or the reason why not.
//
// Pins, connecting, or a suspended process may delay the first byte after the
// choice. A server that announced meanwhile that it is leaving would get the
// request seconds later, so the dispatcher rechecks right before it writes.
func (v View) Recheck(now time.Time, chosen *Server, n Need) Reason {
	s, ok := v.Server(chosen.announcement.Identity)
	if !ok {
		return IsSilent
	}
	if s.announcement.Address != chosen.announcement.Address {
		return HasMoved
	}
	return s.Eligible(now, n)
}

// Len returns the number of servers.
func (v *View) Len() int {
	n := 0
	for _, all := range v.shards {
		n += len(all)
	}
	return n
}
