package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/fleet/announcement"
)

// leaveLimit is the guaranteed time after a leaving announcement by which a server gets no new requests.
const leaveLimit = 3 * time.Second

// schedules is the number of random fault schedules; long runs raise it.
var schedules = flag.Int("schedules", 40, "random schedules of faults")

// A server announces to a single entry that it is leaving. Other entries are
// partitioned or suspended meanwhile, messages are delayed, duplicated and
// reordered, and the server returns in a new incarnation. An entry that still
// took the old announcement as current would send its callers' requests to a
// server that is shutting down, and they would be aborted.
func TestLeavingServerGetsNoWork(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(7)
	p.MinSuccessfulTests = *schedules
	all := gopter.NewProperties(p)
	naive := 0
	all.Property("no dispatch after the limit", prop.ForAllNoShrink(func(seed uint64) string {
		sim := newSimulation(seed)
		sim.run(40 * time.Second)
		naive += sim.naiveLate
		return sim.fault
	}, gen.UInt64()))
	all.TestingRun(t)
	if naive == 0 {
		t.Error("no schedule makes the naive table fail, so the schedules prove nothing")
	}
	t.Logf("late dispatches of the naive table under the same schedules: %d", naive)
}

// Without faults every entry may use every ready server at any time; an age
// check that is too strict would leave servers idle and refuse requests.
func TestReadyServersStayEligible(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(seed)
		sim.faultless = true
		sim.run(30 * time.Second)
		if sim.fault != "" || sim.refused > 0 {
			t.Errorf("seed %d: %s, %d of %d checks refused a ready server", seed, sim.fault, sim.refused, sim.checks)
		}
	}
}

// clock is a VM's monotonic clock with its own start and rate.
type clock struct {
	start time.Time
	rate  float64
}

func newClock(r *rand.Rand) clock {
	start := time.Unix(0, 0).Add(time.Duration(r.Int64N(int64(1000 * time.Hour))))
	return clock{start: start, rate: 1 + (r.Float64()-0.5)*4e-4}
}

func (c clock) at(d time.Duration) time.Time {
	return c.start.Add(time.Duration(float64(d) * c.rate))
}

type node struct {
	name             string
	clock            clock
	table            Table
	gossip           Gossip
	naive            naiveTable
	suspendedUntil   time.Duration
	partitionedUntil time.Duration
}

type server struct {
	a       announcement.Announcement
	clock   clock
	started time.Duration
	next    time.Duration
	leaves  time.Duration
	returns time.Duration
}

type delivery struct {
	sent time.Duration
	at   time.Duration
	from string
	to   *node
	a    *announcement.Announcement
	m    Message
}

// simulation simulates entries and servers in virtual time under a fault schedule generated from its seed.
type simulation struct {
	r         *rand.Rand
	now       time.Duration
	nodes     []*node
	servers   []*server
	inFlight  []delivery
	left      map[string]time.Duration
	faultless bool
	fault     string
	naiveLate int
	checks    int
	refused   int
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{r: rand.New(rand.NewPCG(seed, 7)), left: map[string]time.Duration{}}
	var names []string
	for i := range 3 + sim.r.IntN(4) {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	for _, n := range names {
		sim.nodes = append(sim.nodes, sim.newNode(n, names))
	}
	for i := range 4 {
		s := &server{clock: newClock(sim.r), leaves: sim.later(5, 25)}
		s.a = announcement.Announcement{
			Identity:    fmt.Sprintf("engine-%d", i),
			Incarnation: 1,
			Zone:        "tunja",
			Address:     fmt.Sprintf("10.0.0.%d:8000", i+1),
			Kind:        announcement.Engine,
			State:       announcement.Ready,
			Holdings:    []announcement.Holding{{Model: "m", WeightVersion: "v"}},
		}
		sim.servers = append(sim.servers, s)
	}
	return sim
}

func (sim *simulation) newNode(name string, names []string) *node {
	n := &node{name: name, clock: newClock(sim.r), table: New(Config{}), naive: naiveTable{}}
	g, err := NewGossip(GossipConfig{
		Self:        name,
		Start:       n.clock.at(0),
		Incarnation: 1,
		Table:       n.table,
		Random:      rand.New(rand.NewPCG(sim.r.Uint64(), 1)),
	})
	if err != nil {
		panic(err)
	}
	g.SetPeers(names)
	n.gossip = g
	return n
}

func (sim *simulation) later(least, most int) time.Duration {
	return sim.now + time.Duration(least*1000+sim.r.IntN((most-least)*1000))*time.Millisecond
}

func (sim *simulation) run(length time.Duration) {
	const step = 25 * time.Millisecond
	for ; sim.now < length && sim.fault == ""; sim.now += step {
		sim.injectFaults()
		for _, s := range sim.servers {
			sim.announce(s)
		}
		sim.deliver()
		for _, n := range sim.nodes {
			sim.tick(n)
		}
	}
}

// injectFaults suspends entries and partitions them from their peers.
func (sim *simulation) injectFaults() {
	if sim.faultless || sim.r.IntN(60) > 0 {
		return
	}
	n := sim.nodes[sim.r.IntN(len(sim.nodes))]
	if sim.r.IntN(2) == 0 {
		n.suspendedUntil = sim.later(0, 12)
	} else {
		n.partitionedUntil = sim.later(0, 12)
	}
}

// announce sends the server's announcement when it is due; from time to time the server leaves and returns.
func (sim *simulation) announce(s *server) {
	if s.returns > 0 && sim.now >= s.returns {
		s.a.Incarnation++
		s.a.Sequence = 0
		s.a.State = announcement.Ready
		s.started, s.returns, s.leaves = sim.now, 0, sim.later(5, 25)
	}
	if !sim.faultless && s.returns == 0 && sim.now >= s.leaves {
		s.a.State = announcement.Leaving
		s.returns, s.next = sim.later(4, 9), sim.now
		sim.left[incarnationKey(s.a.Identity, s.a.Incarnation)] = sim.now
	}
	if sim.now < s.next {
		return
	}
	s.next = sim.now + time.Second
	s.a.Sequence++
	a := s.a
	a.UptimeMillis = 1 + s.clock.at(sim.now).Sub(s.clock.at(s.started)).Milliseconds()
	n := sim.nodes[sim.r.IntN(len(sim.nodes))]
	sim.send(delivery{from: a.Identity, to: n, a: &a})
}

func incarnationKey(identity string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", identity, incarnation)
}

// send queues a message for delivery; some messages are delayed, duplicated or dropped.
func (sim *simulation) send(d delivery) {
	delay := sim.r.IntN(60)
	if !sim.faultless {
		switch sim.r.IntN(10) {
		case 0:
			return
		case 1:
			sim.inFlight = append(sim.inFlight, d.after(sim.now, sim.r.IntN(15000)))
		case 2:
			delay = sim.r.IntN(15000)
		}
	}
	sim.inFlight = append(sim.inFlight, d.after(sim.now, delay))
}

func (d delivery) after(now time.Duration, millis int) delivery {
	d.sent = now
	d.at = now + time.Duration(millis)*time.Millisecond
	return d
}

func (sim *simulation) deliver() {
	due := sim.inFlight
	sim.inFlight = nil
	for _, d := range due {
		blocked := d.to.suspendedUntil > sim.now || (d.a == nil && d.to.partitionedUntil > sim.now)
		if d.at > sim.now || blocked {
			sim.inFlight = append(sim.inFlight, d)
			continue
		}
		sim.receive(d)
	}
}

func (sim *simulation) receive(d delivery) {
	n, now := d.to, d.to.clock.at(sim.now)
	if d.a == nil {
		for _, e := range n.gossip.Receive(now, d.from, d.m) {
			sim.send(delivery{from: n.name, to: sim.node(e.To), m: e.Message})
		}
		sim.gossipNaive(n, now, d.m)
		return
	}
	if sim.withoutGuarantee(n, d) {
		return
	}
	n.naive.merge(now, *d.a)
	if m := n.table.Announce(now, *d.a); m.Leaving {
		n.gossip.PushLeaving(d.a.Identity)
	}
}

// withoutGuarantee reports whether the announcement is the first one of an incarnation at the entry and was delayed for long, the one case without a guarantee.
func (sim *simulation) withoutGuarantee(n *node, d delivery) bool {
	v := n.table.View()
	if s, ok := v.Server(d.a.Identity); ok && s.announcement.Incarnation >= d.a.Incarnation {
		return false
	}
	return sim.now-d.sent > 100*time.Millisecond
}

func (sim *simulation) gossipNaive(n *node, now time.Time, m Message) {
	var rows []Row
	if m.Answer != nil {
		rows = m.Answer.Rows
	}
	if m.Push != nil {
		rows = m.Push.Rows
	}
	for _, r := range rows {
		if static, ok := staticFor(n.table.View(), r); ok {
			n.naive.merge(now, r.announcement(static))
		}
	}
}

func (sim *simulation) node(name string) *node {
	for _, n := range sim.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// tick sends the entry's due messages and checks which servers are eligible at it.
func (sim *simulation) tick(n *node) {
	if n.suspendedUntil > sim.now {
		return
	}
	now := n.clock.at(sim.now)
	for _, e := range n.gossip.Outgoing(now) {
		sim.send(delivery{from: n.name, to: sim.node(e.To), m: e.Message})
	}
	v := n.table.View()
	for _, s := range sim.servers {
		id := s.a.Identity
		if i, ok := n.naive.eligible(now, id); ok && sim.late(id, i) {
			sim.naiveLate++
		}
		known, ok := v.Server(id)
		reason := IsSilent
		if ok {
			reason = known.Eligible(now, Need{Kind: announcement.Engine, Model: "m", WeightVersion: "v", Age: MaxAge})
		}
		sim.checks++
		if reason != Eligible && sim.now > 3*time.Second {
			sim.refused++
		}
		if reason == Eligible && sim.late(id, known.announcement.Incarnation) {
			sim.fault = fmt.Sprintf("at %v %s sends requests to %s, which left at %v", sim.now, n.name, id, sim.left[incarnationKey(id, known.announcement.Incarnation)])
		}
	}
}

func (sim *simulation) late(identity string, incarnation uint64) bool {
	left, ok := sim.left[incarnationKey(identity, incarnation)]
	return ok && sim.now > left+leaveLimit
}
