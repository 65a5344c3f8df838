package watch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// maxPeers bounds the entries in one answer.
	maxPeers = 16
	// peerTimeout is how long an entry is listed after its last poll; one poll lasts for at most maxWait and maxRoundInterval.
	peerTimeout = 3 * time.Second
)

// Peers implements Server.
func (s *server) Peers(q PeersQuery) []Peer {
	near, far := s.recentEntries(q, time.Now())
	shuffle := func(all []Peer) { rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] }) }
	shuffle(near)
	shuffle(far)
	fromNear := min(len(near), max(maxPeers/2, maxPeers-len(far)))
	return slices.Concat(near[:fromNear], far[:min(len(far), maxPeers-fromNear)])
}

// recentEntries returns the entries that polled recently, in the zone of the one that asks and in others.
func (s *server) recentEntries(q PeersQuery, now time.Time) (near, far []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asker, zones := addressOf(q.Watcher), map[string]string{}
	for name, w := range s.watchers {
		if a := addressOf(name); w.entry && a != asker && now.Sub(w.polledAt) <= peerTimeout {
			zones[a] = w.zone
		}
	}
	for _, a := range slices.Sorted(maps.Keys(zones)) {
		p := Peer{Address: a, Zone: zones[a]}
		if p.Zone == q.Zone {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return near, far
}

// addressOf returns the address of a watcher without its start.
func addressOf(watcher string) string {
	address, _, _ := strings.Cut(watcher, "/")
	return address
}
