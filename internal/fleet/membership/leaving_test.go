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

// leaveLimit is the promise: no new work this long after a server said that it leaves.
const leaveLimit = 3 * time.Second

// schedules is raised for long runs.
var schedules = flag.Int("schedules", 40, "random schedules of faults")

// A server says that it leaves to the one entry that it reaches. Other entries
// are cut off or frozen meanwhile, messages come late, twice and in any order,
// and the server comes back in a new incarnation. If an entry still took the
// old announcement for fresh, its callers' requests would be sent to a server
// that is going away, and be cut.
func TestLeavingServerGetsNoWork(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(7)
	p.MinSuccessfulTests = *schedules
	all := gopter.NewProperties(p)
	naive := 0
	all.Property("no dispatch later than the limit", prop.ForAllNoShrink(func(seed uint64) string {
		w := newWorld(seed)
		w.run(40 * time.Second)
		naive += w.naiveLate
		return w.fault
	}, gen.UInt64()))
	all.TestingRun(t)
	if naive == 0 {
		t.Error("the schedules bring a naive table into no error, so they prove nothing")
	}
	t.Logf("late dispatches of the naive table under the same schedules: %d", naive)
}

// Without faults every entry may use every ready server at any time; a check
// of ages that is too strict would leave servers idle and refuse requests.
func TestReadyServersStayEligible(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		w.calm = true
		w.run(30 * time.Second)
		if w.fault != "" || w.refused > 0 {
			t.Errorf("seed %d: %s, %d of %d checks refused a ready server", seed, w.fault, w.refused, w.checks)
		}
	}
}

// clock is one VM's monotonic clock: another start and another rate than any other's.
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
	name   string
	clock  clock
	table  Table
	gossip Gossip
	naive  naiveTable
	frozen time.Duration
	cut    time.Duration
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

// world runs entries and servers in virtual time under a schedule of faults that its seed gives.
type world struct {
	r         *rand.Rand
	now       time.Duration
	nodes     []*node
	servers   []*server
	wire      []delivery
	left      map[string]time.Duration
	calm      bool
	fault     string
	naiveLate int
	checks    int
	refused   int
}

func newWorld(seed uint64) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 7)), left: map[string]time.Duration{}}
	var names []string
	for i := range 3 + w.r.IntN(4) {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	for _, n := range names {
		w.nodes = append(w.nodes, w.newNode(n, names))
	}
	for i := range 4 {
		s := &server{clock: newClock(w.r), leaves: w.later(5, 25)}
		s.a = announcement.Announcement{
			Identity:    fmt.Sprintf("engine-%d", i),
			Incarnation: 1,
			Zone:        "tunja",
			Address:     fmt.Sprintf("10.0.0.%d:8000", i+1),
			Kind:        announcement.Engine,
			State:       announcement.Ready,
			Holdings:    []announcement.Holding{{Model: "m", WeightVersion: "v"}},
		}
		w.servers = append(w.servers, s)
	}
	return w
}

func (w *world) newNode(name string, names []string) *node {
	n := &node{name: name, clock: newClock(w.r), table: New(Config{}), naive: naiveTable{}}
	g, err := NewGossip(GossipConfig{
		Self:        name,
		Start:       n.clock.at(0),
		Incarnation: 1,
		Table:       n.table,
		Random:      rand.New(rand.NewPCG(w.r.Uint64(), 1)),
	})
	if err != nil {
		panic(err)
	}
	g.SetPeers(names)
	n.gossip = g
	return n
}

func (w *world) later(least, most int) time.Duration {
	return w.now + time.Duration(least*1000+w.r.IntN((most-least)*1000))*time.Millisecond
}

func (w *world) run(length time.Duration) {
	const step = 25 * time.Millisecond
	for ; w.now < length && w.fault == ""; w.now += step {
		w.breakThings()
		for _, s := range w.servers {
			w.announce(s)
		}
		w.deliver()
		for _, n := range w.nodes {
			w.tick(n)
		}
	}
}

// breakThings freezes entries and cuts them off from their peers.
func (w *world) breakThings() {
	if w.calm || w.r.IntN(60) > 0 {
		return
	}
	n := w.nodes[w.r.IntN(len(w.nodes))]
	if w.r.IntN(2) == 0 {
		n.frozen = w.later(0, 12)
	} else {
		n.cut = w.later(0, 12)
	}
}

// announce lets the server say what it is; now and then it leaves and comes back.
func (w *world) announce(s *server) {
	if s.returns > 0 && w.now >= s.returns {
		s.a.Incarnation++
		s.a.Sequence = 0
		s.a.State = announcement.Ready
		s.started, s.returns, s.leaves = w.now, 0, w.later(5, 25)
	}
	if !w.calm && s.returns == 0 && w.now >= s.leaves {
		s.a.State = announcement.Leaving
		s.returns, s.next = w.later(4, 9), w.now
		w.left[life(s.a.Identity, s.a.Incarnation)] = w.now
	}
	if w.now < s.next {
		return
	}
	s.next = w.now + time.Second
	s.a.Sequence++
	a := s.a
	a.UptimeMillis = 1 + s.clock.at(w.now).Sub(s.clock.at(s.started)).Milliseconds()
	n := w.nodes[w.r.IntN(len(w.nodes))]
	w.send(delivery{from: a.Identity, to: n, a: &a})
}

func life(identity string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", identity, incarnation)
}

// send puts a message on the wire, now and then late, twice or not at all.
func (w *world) send(d delivery) {
	delay := w.r.IntN(60)
	if !w.calm {
		switch w.r.IntN(10) {
		case 0:
			return
		case 1:
			w.wire = append(w.wire, d.after(w.now, w.r.IntN(15000)))
		case 2:
			delay = w.r.IntN(15000)
		}
	}
	w.wire = append(w.wire, d.after(w.now, delay))
}

func (d delivery) after(now time.Duration, millis int) delivery {
	d.sent = now
	d.at = now + time.Duration(millis)*time.Millisecond
	return d
}

func (w *world) deliver() {
	due := w.wire
	w.wire = nil
	for _, d := range due {
		blocked := d.to.frozen > w.now || (d.a == nil && d.to.cut > w.now)
		if d.at > w.now || blocked {
			w.wire = append(w.wire, d)
			continue
		}
		w.receive(d)
	}
}

func (w *world) receive(d delivery) {
	n, now := d.to, d.to.clock.at(w.now)
	if d.a == nil {
		for _, e := range n.gossip.Receive(now, d.from, d.m) {
			w.send(delivery{from: n.name, to: w.node(e.To), m: e.Message})
		}
		w.gossipNaive(n, now, d.m)
		return
	}
	if w.unbounded(n, d) {
		return
	}
	n.naive.merge(now, *d.a)
	if m := n.table.Announce(now, *d.a); m.Leaving {
		n.gossip.Leaving(d.a.Identity)
	}
}

// unbounded returns whether this is the first that the entry hears of an incarnation and was long on its way, the one case that is not claimed.
func (w *world) unbounded(n *node, d delivery) bool {
	v := n.table.View()
	if s, ok := v.Server(d.a.Identity); ok && s.announcement.Incarnation >= d.a.Incarnation {
		return false
	}
	return w.now-d.sent > 100*time.Millisecond
}

func (w *world) gossipNaive(n *node, now time.Time, m Message) {
	var rows []Row
	if m.Answer != nil {
		rows = m.Answer.Rows
	}
	if m.Push != nil {
		rows = m.Push.Rows
	}
	for _, r := range rows {
		if form, ok := formFor(n.table.View(), r); ok {
			n.naive.merge(now, r.announcement(form))
		}
	}
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// tick lets the entry send and checks which servers it would give work to.
func (w *world) tick(n *node) {
	if n.frozen > w.now {
		return
	}
	now := n.clock.at(w.now)
	for _, e := range n.gossip.Outgoing(now) {
		w.send(delivery{from: n.name, to: w.node(e.To), m: e.Message})
	}
	v := n.table.View()
	for _, s := range w.servers {
		id := s.a.Identity
		if i, ok := n.naive.eligible(now, id); ok && w.late(id, i) {
			w.naiveLate++
		}
		known, ok := v.Server(id)
		reason := IsSilent
		if ok {
			reason = known.Eligible(now, Need{Kind: announcement.Engine, Model: "m", WeightVersion: "v", Age: MaxAge})
		}
		w.checks++
		if reason != Eligible && w.now > 3*time.Second {
			w.refused++
		}
		if reason == Eligible && w.late(id, known.announcement.Incarnation) {
			w.fault = fmt.Sprintf("at %v %s gives work to %s, which left at %v", w.now, n.name, id, w.left[life(id, known.announcement.Incarnation)])
		}
	}
}

func (w *world) late(identity string, incarnation uint64) bool {
	left, ok := w.left[life(identity, incarnation)]
	return ok && w.now > left+leaveLimit
}
