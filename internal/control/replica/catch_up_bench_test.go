package replica

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// largeSnapshotMachine is a Machine whose snapshot has a given size.
type largeSnapshotMachine struct {
	countingMachine
	state []byte
}

func (m *largeSnapshotMachine) Snapshot() ([]byte, error) { return m.state, nil }

// catchUpGroup is three replicas that take snapshots often and keep one log entry before them.
type catchUpGroup struct {
	b       *testing.B
	network *network
	configs []Config
	all     []Replica
}

func newCatchUpGroup(b *testing.B, bytes int) *catchUpGroup {
	b.Helper()
	g := &catchUpGroup{b: b, network: newNetwork()}
	for _, s := range founders {
		g.configs = append(g.configs, Config{
			Name: s.Name, Address: s.Address, Folder: b.TempDir(), Seeds: founders, Transport: testTransport{g.network, s.Address},
			Machine: &largeSnapshotMachine{state: make([]byte, bytes)}, SnapshotEntries: 8, KeepEntries: 1,
		})
	}
	for i := range g.configs {
		g.all = append(g.all, nil)
		g.start(i)
	}
	b.Cleanup(func() {
		for i := range g.all {
			g.kill(i)
		}
	})
	return g
}

func (g *catchUpGroup) start(i int) {
	r, err := New(g.configs[i])
	if err != nil {
		g.b.Fatal(err)
	}
	g.network.attach(g.configs[i].Address, r)
	g.all[i] = r
}

func (g *catchUpGroup) kill(i int) {
	g.network.detach(g.configs[i].Address)
	g.all[i].(*replica).fail(errUnreachable)
	<-g.all[i].Done()
}

// measureCatchUp stops a follower, which misses some snapshots, and returns how long it takes to catch up after its restart.
func (g *catchUpGroup) measureCatchUp() time.Duration {
	leader := waitForBenchLeader(g.all)
	down := 0
	for g.all[down] == leader {
		down++
	}
	g.kill(down)
	for range 32 {
		if _, err := leader.Propose(context.Background(), make([]byte, commandBytes)); err != nil {
			g.b.Fatal(err)
		}
	}
	begin := time.Now()
	g.start(down)
	if err := g.all[down].WaitApplied(context.Background(), leader.Status().Commit); err != nil {
		g.b.Fatal(err)
	}
	return time.Since(begin)
}

// BenchmarkCatchUp measures how long a restarted replica takes to receive a
// snapshot from the leader, and to verify, sync and restore it.
func BenchmarkCatchUp(b *testing.B) {
	for _, size := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("MB=%d", size), func(b *testing.B) {
			g := newCatchUpGroup(b, size<<20)
			var spent time.Duration
			for range b.N {
				spent += g.measureCatchUp()
			}
			b.ReportMetric(spent.Seconds()*1e3/float64(b.N), "ms/catch-up")
		})
	}
}
