package siteentry

import "github.com/cespare/xxhash/v2"

// candidateRelay is a replica that answers polls.
type candidateRelay struct {
	address string
	// sameZone is set if it is in the entry's availability zone, holder if it holds the lease for orders.
	sameZone, holder bool
}

// pickRelay returns the address of the replica that the watcher exchanges hints with, empty when no replica is
// known.
//
// Few entries share the replica that holds the lease. Many entries are distributed over the replicas of their
// availability zones: hints are most of the traffic from replicas, and traffic between zones is expensive.
func pickRelay(candidates []candidateRelay, many bool, watcher string) string {
	found, best := "", uint64(0)
	for _, c := range candidates {
		preferred := c.holder
		if many {
			preferred = c.sameZone
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
