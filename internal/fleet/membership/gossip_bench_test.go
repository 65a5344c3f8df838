package membership

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/fleet/announcement"
)

// messageDelay is the delay of a message between two entries.
const messageDelay = 2 * time.Millisecond

func benchAnnouncement(i int) announcement.Announcement {
	return announcement.Announcement{
		Identity:    fmt.Sprintf("engine-%03d.bogota-norte", i),
		Incarnation: 1_764_720_000_000_000_000 + uint64(i),
		Sequence:    1,
		Zone:        "bogota-norte",
		Address:     fmt.Sprintf("10.0.%d.%d:8000", i/200, i%200+1),
		Kind:        announcement.Engine,
		State:       announcement.Ready,
		Holdings:    []announcement.Holding{{Model: "certificate-drafter", WeightVersion: "2026-11-30"}},
		Role:        "drafting",
		Load: announcement.Load{
			Running:      7,
			QueuedTokens: 41_000,
			PrefillRate:  8123.4,
			DecodeRate:   41.7,
			MaxRunning:   64,
			CachePieces:  400,
			FreePieces:   31,
		},
	}
}

// cellLoad simulates a cell of entries in virtual time and counts the bytes of its messages.
type cellLoad struct {
	r        *rand.Rand
	now      time.Time
	nodes    []*node
	servers  []announcement.Announcement
	inFlight []delivery
	start    time.Time
	bytes    int
	sent     int
	ages     []time.Duration
}

func newCellLoad(b *testing.B, entries, servers int) *cellLoad {
	c := &cellLoad{r: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), start: time.Unix(1000, 0)}
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("entry-%03d", i))
	}
	for _, n := range names {
		t := New(Config{})
		g, err := NewGossip(GossipConfig{Self: n, Start: c.now, Incarnation: 1, Table: t, Random: rand.New(rand.NewPCG(c.r.Uint64(), 1))})
		if err != nil {
			b.Fatal(err)
		}
		g.SetPeers(names)
		c.nodes = append(c.nodes, &node{name: n, table: t, gossip: g})
	}
	for i := range servers {
		c.servers = append(c.servers, benchAnnouncement(i))
	}
	return c
}

// second simulates one second in steps of 50 ms; requests is the number of requests that each entry sends.
func (c *cellLoad) second(requests int) {
	const steps = 20
	for s := range steps {
		c.now = c.now.Add(time.Second / steps)
		for i := range c.servers {
			if i%steps == s {
				c.announce(&c.servers[i])
			}
		}
		for _, n := range c.nodes {
			if c.r.IntN(steps) < requests {
				key := KeyOf(c.servers[c.r.IntN(len(c.servers))].Identity)
				n.gossip.Work().Sent(c.now, key, 3000)
			}
			c.post(n, n.gossip.Outgoing(c.now))
		}
		c.deliver()
	}
	for _, n := range c.nodes {
		v := n.table.View()
		for s := range v.All() {
			c.ages = append(c.ages, s.Age(c.now))
		}
	}
}

func (c *cellLoad) announce(a *announcement.Announcement) {
	a.Sequence++
	a.UptimeMillis = 1 + c.now.Sub(c.start).Milliseconds()
	a.Load.Sequence++
	a.Load.Running = c.r.IntN(64)
	a.Load.QueuedTokens = c.r.Int64N(200_000)
	a.Load.FreePieces = c.r.Int64N(400)
	c.nodes[c.r.IntN(len(c.nodes))].table.Announce(c.now, *a)
}

func (c *cellLoad) post(from *node, all []Envelope) {
	for _, e := range all {
		c.inFlight = append(c.inFlight, delivery{from: from.name, to: c.node(e.To), m: e.Message})
	}
}

func (c *cellLoad) node(name string) *node {
	var i int
	_, _ = fmt.Sscanf(name, "entry-%d", &i)
	return c.nodes[i]
}

// deliver encodes and decodes each message like the transport, until none is left.
func (c *cellLoad) deliver() {
	at := c.now
	for len(c.inFlight) > 0 {
		at = at.Add(messageDelay)
		due := c.inFlight
		c.inFlight = nil
		for _, d := range due {
			b, err := codec.Marshal(d.m)
			if err != nil {
				panic(err)
			}
			c.bytes += len(b)
			c.sent++
			m, err := codec.Unmarshal[Message](b)
			if err != nil {
				panic(err)
			}
			c.post(d.to, d.to.gossip.Receive(at, d.from, m))
		}
	}
}

// BenchmarkGossip reports the bytes and messages that each entry sends, its CPU time including the codec, and the ages of its records.
func BenchmarkGossip(b *testing.B) {
	for _, size := range []struct{ entries, servers int }{{8, 13}, {20, 60}, {8, 60}, {40, 60}, {160, 60}, {40, 13}, {160, 13}} {
		b.Run(fmt.Sprintf("entries=%d/servers=%d", size.entries, size.servers), func(b *testing.B) {
			c := newCellLoad(b, size.entries, size.servers)
			for range 5 {
				c.second(15)
			}
			c.bytes, c.sent, c.ages = 0, 0, nil
			b.ResetTimer()
			for range b.N {
				c.second(15)
			}
			per := float64(b.N * size.entries)
			b.ReportMetric(float64(c.bytes)/per, "sent-B/s")
			b.ReportMetric(float64(c.sent)/per, "messages/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/per, "cpu-us/s")
			slices.Sort(c.ages)
			b.ReportMetric(float64(c.ages[len(c.ages)*99/100].Milliseconds()), "age-p99-ms")
			b.ReportMetric(float64(c.ages[len(c.ages)-1].Milliseconds()), "age-max-ms")
		})
	}
}

func BenchmarkMerge(b *testing.B) {
	t, now := New(Config{}), time.Unix(1000, 0)
	a := benchAnnouncement(1)
	b.ReportAllocs()
	for b.Loop() {
		a.Sequence++
		now = now.Add(time.Second)
		t.Announce(now, a)
	}
}

// BenchmarkEligible reports the time to filter the servers that may get a request.
func BenchmarkEligible(b *testing.B) {
	for _, n := range []int{13, 60, 940} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			t, now := New(Config{}), time.Unix(1000, 0)
			for i := range n {
				t.Announce(now, benchAnnouncement(i))
			}
			need := Need{Kind: announcement.Engine, Model: "certificate-drafter", WeightVersion: "2026-11-30"}
			b.ReportAllocs()
			found := 0
			for b.Loop() {
				v := t.View()
				for s := range v.All() {
					if s.Eligible(now, need) == Eligible {
						found++
					}
				}
			}
			if found == 0 {
				b.Fatal("no server is eligible")
			}
		})
	}
}

// BenchmarkTableMemory reports the memory that an entry uses for each server.
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range []int{13, 60, 940} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			var bytes uint64
			for b.Loop() {
				before := heapBytes()
				t := New(Config{})
				for i := range n {
					t.Announce(time.Unix(1000, 0), benchAnnouncement(i))
				}
				bytes = heapBytes() - before
				runtime.KeepAlive(t)
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/server")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
