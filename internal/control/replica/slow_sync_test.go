package replica

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"hornbeamwood/internal/control/faultfile"
)

// slowSyncDuration is the duration of a sync on a disk under heavy load.
const slowSyncDuration = 150 * time.Millisecond

// A disk is busy with other work, and one sync takes far longer than usual. The
// replica is blocked meanwhile. An operator's edit is delayed, but the group must
// keep its leader, or the edits after it would be rejected during an election.
func TestSlowSyncKeepsTheLeader(t *testing.T) {
	for range 3 {
		var slow atomic.Bool
		c := newCluster(t, 3, func(g *Config) {
			g.Tick = defaultTick
			g.Files, g.Folder = slowFolder(&slow), ""
		})
		c.commit("one")
		leader := c.waitForLeader()
		term := leader.replica.Status().Term
		slow.Store(true)
		c.commit("two")
		c.waitForState("one two", c.nodes...)
		if s := leader.replica.Status(); s.Term != term || s.Role != "leader" {
			t.Errorf("one slow sync changed term %d to %d, role %s", term, s.Term, s.Role)
		}
	}
}

// slowFolder returns an in-memory folder whose next sync is slow once slow is set.
func slowFolder(slow *atomic.Bool) *faultfile.Folder {
	f := faultfile.New()
	f.SetFault(func(o faultfile.Operation, _ string) error {
		if o == faultfile.Sync && slow.Swap(false) {
			time.Sleep(slowSyncDuration)
		}
		return nil
	})
	return f
}

const (
	// slowSyncs is the mean duration of a sync on a disk that many processes share.
	slowSyncs = 600 * time.Millisecond
	// recoveryTime is how long after its start a group must serve.
	recoveryTime = 15 * time.Second
)

// Guards against a group that finds no leader while its syncs take as long as its elections.
func TestSlowSyncsAllowElections(t *testing.T) {
	began := time.Now()
	c := newCluster(t, 3, func(g *Config) {
		g.Tick = defaultTick
		f := faultfile.New()
		f.SetFault(func(o faultfile.Operation, _ string) error {
			if o == faultfile.Sync {
				time.Sleep(slowSyncs/2 + rand.N(slowSyncs))
			}
			return nil
		})
		g.Files, g.Folder = f, ""
	})
	c.waitForLeader()
	c.commit("one")
	if took := time.Since(began); took > recoveryTime {
		t.Errorf("the first commit took %v, %v allowed", took, recoveryTime)
	}
}
