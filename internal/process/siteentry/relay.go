package siteentry

import "github.com/cespare/xxhash/v2"

// candidateRelay is a replica that answers.
type candidateRelay struct {
	address string
	// near says that it is in the entry's availability zone, holder that it holds the lease for orders.
	near, holder bool
}

// pickRelay returns the address of the replica that the watcher exchanges hints with,
// one of few entries or of many, empty when none is known.
//
// Few entries meet at the replica that holds the lease. Many are spread over the
// replicas of their availability zones: hints are most of what replicas tell, and
// bytes between zones are dear.
func pickRelay(known []candidateRelay, many bool, watcher string) string {
	found, best := "", uint64(0)
	for _, c := range known {
		preferred := c.holder
		if many {
			preferred = c.near
		}
		score := xxhash.Sum64String(watcher+"\x00"+c.address) >> 1
		if preferred {
			score |= 1 << 63
		}
		if found == "" || score > best {
			found, best = c.address, score
		}
	}
	return found
}
