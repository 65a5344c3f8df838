package replica

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// bulk is a Machine whose snapshot has a given size.
type bulk struct {
	counter
	state []byte
}

func (b *bulk) Snapshot() ([]byte, error) { return b.state, nil }

// bulkGroup is three replicas that snapshot often and keep no log behind it.
type bulkGroup struct {
	b       *testing.B
	network *network
	configs []Config
	all     []Replica
}

func newBulkGroup(b *testing.B, bytes int) *bulkGroup {
	b.Helper()
	g := &bulkGroup{b: b, network: newNetwork()}
	for _, s := range founders {
		g.configs = append(g.configs, Config{
			Name: s.Name, Address: s.Address, Folder: b.TempDir(), Seeds: founders, Transport: port{g.network, s.Address},
			Machine: &bulk{state: make([]byte, bytes)}, SnapshotEntries: 8, KeepEntries: 1,
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

func (g *bulkGroup) start(i int) {
	r, err := New(g.configs[i])
	if err != nil {
		g.b.Fatal(err)
	}
	g.network.attach(g.configs[i].Address, r)
	g.all[i] = r
}

func (g *bulkGroup) kill(i int) {
	g.network.detach(g.configs[i].Address)
	g.all[i].(*replica).fail(errUnreachable)
	<-g.all[i].Done()
}

// round lets a follower miss some snapshots and returns how long it takes to catch up.
func (g *bulkGroup) round() time.Duration {
	leader := leading(g.all)
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

// BenchmarkCatchUp measures how long a replica that was down takes to get a
// snapshot from the leader, check, sync and restore it.
func BenchmarkCatchUp(b *testing.B) {
	for _, size := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("MB=%d", size), func(b *testing.B) {
			g := newBulkGroup(b, size<<20)
			var spent time.Duration
			for range b.N {
				spent += g.round()
			}
			b.ReportMetric(spent.Seconds()*1e3/float64(b.N), "ms/catch-up")
		})
	}
}
