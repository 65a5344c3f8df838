package replica

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// commandBytes is the approximate size of a ledger claim.
const commandBytes = 200

// countingMachine is a Machine that only counts commands, so that the benchmarks measure the cost of the log itself.
type countingMachine struct{ n atomic.Uint64 }

func (c *countingMachine) Apply(uint64, []byte) []byte { c.n.Add(1); return nil }
func (c *countingMachine) Snapshot() ([]byte, error)   { return make([]byte, 1000), nil }
func (c *countingMachine) Restore([]byte) error        { return nil }

// cpuTime returns the CPU time that all threads of this process have used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// startBenchGroup starts replicas with folders on disk, the default tick and a machine with negligible cost.
func startBenchGroup(b *testing.B, size int) (*network, []Replica) {
	b.Helper()
	n := newNetwork()
	var seeds []Seed
	for i := range size {
		seeds = append(seeds, Seed{Name: fmt.Sprintf("control-%d", i), Address: fmt.Sprintf("10.0.0.%d:7000", i)})
	}
	var all []Replica
	for _, s := range seeds {
		r, err := New(Config{Name: s.Name, Address: s.Address, Folder: b.TempDir(), Seeds: seeds, Transport: testTransport{n, s.Address}, Machine: &countingMachine{}})
		if err != nil {
			b.Fatal(err)
		}
		n.attach(s.Address, r)
		all = append(all, r)
	}
	b.Cleanup(func() {
		for _, r := range all {
			r.(*replica).fail(errUnreachable)
			<-r.Done()
		}
	})
	return n, all
}

// waitForBenchLeader waits until one of the replicas is the leader.
func waitForBenchLeader(all []Replica) Replica {
	for {
		for _, r := range all {
			if s := r.Status(); s.Role == "leader" && s.CaughtUp {
				return r
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkPropose measures commands proposed to a group of three with synced disks.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			n, all := startBenchGroup(b, 3)
			leader := waitForBenchLeader(all)
			command := make([]byte, commandBytes)
			var left atomic.Int64
			left.Store(int64(b.N))
			var mu sync.Mutex
			latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			bytes, used := n.bytes.Load(), cpuTime(b)
			b.ResetTimer()
			var wait sync.WaitGroup
			for range proposers {
				wait.Go(func() {
					own := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
					for left.Add(-1) >= 0 {
						start := time.Now()
						if _, err := leader.Propose(context.Background(), command); err != nil {
							b.Error(err)
							return
						}
						_ = own.RecordValue(time.Since(start).Microseconds())
					}
					mu.Lock()
					defer mu.Unlock()
					latencies.Merge(own)
				})
			}
			wait.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
			b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-µs")
			b.ReportMetric(float64(n.bytes.Load()-bytes)/float64(b.N), "sent-B/command")
			b.ReportMetric(float64((cpuTime(b)-used).Nanoseconds())/1e3/float64(b.N)/3, "cpu-µs/command/replica")
		})
	}
}

// BenchmarkRead measures quorum-confirmed reads at the leader of a group of three.
func BenchmarkRead(b *testing.B) {
	for _, readers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("readers=%d", readers), func(b *testing.B) {
			_, all := startBenchGroup(b, 3)
			leader := waitForBenchLeader(all)
			var left atomic.Int64
			left.Store(int64(b.N))
			b.ResetTimer()
			var wait sync.WaitGroup
			for range readers {
				wait.Go(func() {
					for left.Add(-1) >= 0 {
						if _, err := leader.ReadIndex(context.Background()); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wait.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
		})
	}
}

// BenchmarkIdle measures the cost of an idle group; one operation is one second.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			n, all := startBenchGroup(b, size)
			leader := waitForBenchLeader(all)
			address := leader.Status().Address
			bytes, sent, used := n.bytes.Load(), n.bytesOf(address), cpuTime(b)
			b.ResetTimer()
			for range b.N {
				time.Sleep(time.Second)
			}
			b.StopTimer()
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/seconds/float64(size), "cpu-µs/s/replica")
			b.ReportMetric(float64(n.bytes.Load()-bytes)/seconds, "group-B/s")
			b.ReportMetric(float64(n.bytesOf(address)-sent)/seconds, "leader-sent-B/s")
		})
	}
}
