package replica

import (
	"sync/atomic"
	"testing"
	"time"

	"hornbeamwood/internal/control/faultfile"
)

// slowSync is a sync on a disk that others use heavily.
const slowSync = 150 * time.Millisecond

// A disk is busy with other work and one sync takes far longer than usual. The
// replica stands still meanwhile. An operator's edit arrives late; it must not
// cost the group its leader, or edits behind it would be refused for an election.
func TestSlowSyncKeepsTheLeader(t *testing.T) {
	for range 3 {
		var slow atomic.Bool
		c := newCluster(t, 3, func(g *Config) {
			g.Tick = defaultTick
			g.Files, g.Folder = slowFolder(&slow), ""
		})
		c.write("one")
		leader := c.leader()
		term := leader.replica.Status().Term
		slow.Store(true)
		c.write("two")
		c.agree("one two", c.nodes...)
		if s := leader.replica.Status(); s.Term != term || s.Role != "leader" {
			t.Errorf("one slow sync moved term %d to %d, role %s", term, s.Term, s.Role)
		}
	}
}

// slowFolder returns a folder in memory whose next sync is slow once the flag is set.
func slowFolder(slow *atomic.Bool) *faultfile.Folder {
	f := faultfile.New()
	f.SetFault(func(o faultfile.Operation, _ string) error {
		if o == faultfile.Sync && slow.Swap(false) {
			time.Sleep(slowSync)
		}
		return nil
	})
	return f
}
