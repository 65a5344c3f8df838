package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// A leaving announcement reaches an entry late, after the entry has received a
// "ready" with a higher sequence number from a peer. The entry must still push
// it at once, or the peers send requests to the server until their next pull.
func TestLateLeavingIsPushedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var all []*node
	for _, name := range []string{"entry-0", "entry-1"} {
		table := New(Config{})
		g, err := NewGossip(GossipConfig{Self: name, Start: now, Incarnation: 1, Table: table, Random: rand.New(rand.NewPCG(1, 1))})
		if err != nil {
			t.Fatal(err)
		}
		g.SetPeers([]string{"entry-0", "entry-1"})
		all = append(all, &node{name: name, table: table, gossip: g})
	}
	a := benchAnnouncement(1)
	a.Sequence = 5
	for _, n := range all {
		n.table.Merge(now, a, 0)
		n.gossip.Outgoing(now)
	}
	a.Sequence, a.State = 4, announcement.Leaving
	if m := all[0].table.Announce(now, a); !m.Leaving || m.Cause != LateLeaving {
		t.Fatalf("got %+v", m)
	}
	all[0].gossip.PushLeaving(a.Identity)
	for _, e := range all[0].gossip.Outgoing(now) {
		all[1].gossip.Receive(now, "entry-0", e.Message)
	}
	v := all[1].table.View()
	s, ok := v.Server(a.Identity)
	if !ok || s.Eligible(now, Need{Kind: announcement.Engine, Model: a.Holdings[0].Model, WeightVersion: a.Holdings[0].WeightVersion}) != IsLeaving {
		t.Errorf("the peer does not know that the server is leaving")
	}
}
