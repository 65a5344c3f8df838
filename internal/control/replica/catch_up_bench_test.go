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

// BenchmarkCatchUp measures how long a replica that was down takes to get a
// snapshot from the leader, check, sync and restore it.
func BenchmarkCatchUp(b *testing.B) {
	for _, size := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("MB=%d", size), func(b *testing.B) {
			n := newNetwork()
			var all []Replica
			configs := make([]Config, 0, len(founders))
			for _, s := range founders {
				configs = append(configs, Config{
					Name: s.Name, Address: s.Address, Folder: b.TempDir(), Seeds: founders, Transport: port{n, s.Address},
					Machine: &bulk{state: make([]byte, size<<20)}, SnapshotEntries: 8, KeepEntries: 1,
				})
			}
			start := func(i int) Replica {
				r, err := New(configs[i])
				if err != nil {
					b.Fatal(err)
				}
				n.attach(configs[i].Address, r)
				return r
			}
			for i := range configs {
				all = append(all, start(i))
			}
			b.Cleanup(func() {
				for _, r := range all {
					r.(*replica).fail(errUnreachable)
					<-r.Done()
				}
			})
			var spent time.Duration
			for range b.N {
				leader := leading(all)
				down := 0
				for all[down] == leader {
					down++
				}
				n.detach(configs[down].Address)
				all[down].(*replica).fail(errUnreachable)
				<-all[down].Done()
				for range 32 {
					if _, err := leader.Propose(context.Background(), make([]byte, commandBytes)); err != nil {
						b.Fatal(err)
					}
				}
				last := leader.Status().Commit
				begin := time.Now()
				all[down] = start(down)
				if err := all[down].WaitApplied(context.Background(), last); err != nil {
					b.Fatal(err)
				}
				spent += time.Since(begin)
			}
			b.ReportMetric(spent.Seconds()*1e3/float64(b.N), "ms/catch-up")
			b.ReportMetric(spent.Seconds()*1e3/float64(b.N)/float64(size), "ms/MB")
		})
	}
}
