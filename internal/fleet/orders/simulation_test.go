package orders

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/lease"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/settings/rules"
)

const (
	leaseTime = 10 * time.Second
	loadTime  = 2 * time.Second
)

// engine is a fake that carries out each order ID once. A load takes loadTime, and longer while more than two engines load.
type engine struct {
	a       announcement.Announcement
	checks  bool
	fencing uint64
	states  map[string]Progress
	loading map[string]Order
	left    map[string]time.Duration
}

// host is a process with a controller: it acquires the lease and sends the planned orders.
type host struct {
	name           string
	c              Controller
	table          membership.Table
	held           lease.HeldLease
	suspendedUntil time.Duration
	due            time.Duration
	unsent         []Instruction
	plan           Plan
	rate           float64
	renewed        uint64
}

// event is a scheduled action.
type event struct {
	at time.Duration
	// on is the host whose suspension delays the event; nil for none.
	on *host
	do func()
}

// simulation simulates engines, two hosts and one copy of the leases in virtual time.
type simulation struct {
	r         *rand.Rand
	now       time.Duration
	leases    state.Section
	logAhead  time.Duration
	engines   []*engine
	hosts     []*host
	settings  *rules.Snapshot
	events    []event
	faultless bool
	fault     string
	counts    counts
}

// counts counts the events that occurred.
type counts struct {
	loads, refused, duplicates, acquisitions, suspensions int
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{r: rand.New(rand.NewPCG(seed, 9)), leases: lease.New()}
	sim.set("v1")
	for i := range 6 {
		sim.engines = append(sim.engines, newEngine(i))
	}
	for i := range 2 {
		h := &host{name: fmt.Sprintf("entry-%d", i), c: New(Config{}), table: membership.New(membership.Config{}), rate: 1 + (sim.r.Float64()-0.5)*0.02}
		sim.hosts = append(sim.hosts, h)
	}
	return sim
}

func newEngine(i int) *engine {
	e := &engine{checks: i%2 == 0}
	e.a = announcement.Announcement{
		Identity:      fmt.Sprintf("engine-%d", i),
		Incarnation:   1,
		Zone:          "tunja",
		Address:       fmt.Sprintf("10.0.0.%d:8000", i+1),
		Kind:          announcement.Engine,
		State:         announcement.Ready,
		ChecksFencing: e.checks,
		Holdings:      []announcement.Holding{{Model: "m", WeightVersion: "v0"}},
	}
	e.forget()
	return e
}

func (e *engine) forget() {
	e.fencing = 0
	e.states = map[string]Progress{}
	e.loading = map[string]Order{}
	e.left = map[string]time.Duration{}
}

// order handles an order as specified in docs/interfaces/backend.md.
func (sim *simulation) order(e *engine, o Order) Outcome {
	out := Outcome{Engine: e.a.Identity, ID: o.ID, Result: Answered}
	if e.checks && o.Fencing < e.fencing {
		sim.counts.refused++
		out.Result = Fenced
		return out
	}
	e.fencing = max(e.fencing, o.Fencing)
	if p, ok := e.states[o.ID]; ok {
		sim.counts.duplicates++
		out.State = p
		return out
	}
	if len(e.loading) > 0 {
		sim.fault = fmt.Sprintf("at %v %s got a second order while it loads", sim.now, e.a.Identity)
	}
	if _, has := versions(e.a, o.Model, o.WeightVersion); has {
		sim.fault = fmt.Sprintf("at %v %s loads %s again", sim.now, e.a.Identity, o.WeightVersion)
	}
	sim.counts.loads++
	e.states[o.ID] = Running
	e.loading[o.ID] = o
	e.left[o.ID] = loadTime
	out.State = Running
	return out
}

func (e *engine) read(id string) Outcome {
	out := Outcome{Engine: e.a.Identity, ID: id, Result: Unknown}
	if p, ok := e.states[id]; ok {
		out.Result, out.State = Answered, p
	}
	return out
}

// work advances the engine's loads by one step; some loads fail.
func (sim *simulation) work(e *engine, step time.Duration, all int) {
	for id, o := range e.loading {
		e.left[id] -= step * 2 / time.Duration(max(2, all))
		if e.left[id] > 0 {
			continue
		}
		delete(e.loading, id)
		if !sim.faultless && sim.r.IntN(12) == 0 {
			e.states[id] = Failed
			continue
		}
		e.states[id] = Done
		e.a.LastOrder = id
		e.a.Holdings = []announcement.Holding{{Model: o.Model, WeightVersion: o.WeightVersion}}
	}
}

// set changes the settings.
func (sim *simulation) set(version string) {
	sim.settings = &rules.Snapshot{
		Fleet:  rules.Fleet{WeightLoads: 2},
		Models: map[string]rules.Model{"m": {Name: "m", WeightVersion: version}},
	}
}

func (sim *simulation) run(length time.Duration) {
	const step = 50 * time.Millisecond
	for end := sim.now + length; sim.now < end && sim.fault == ""; sim.now += step {
		sim.runEvents()
		sim.injectFault()
		for _, h := range sim.hosts {
			sim.tick(h)
		}
		loads := 0
		for _, e := range sim.engines {
			loads += len(e.loading)
		}
		if loads > 2 {
			sim.fault = fmt.Sprintf("at %v %d weight loads run at once", sim.now, loads)
		}
		for i, e := range sim.engines {
			sim.work(e, step, loads)
			if (sim.now/step)%20 == time.Duration(i) {
				sim.announce(e)
			}
		}
	}
}

func (sim *simulation) announce(e *engine) {
	e.a.Sequence++
	a := e.a
	for _, h := range sim.hosts {
		sim.after(h, sim.r.IntN(100), func() { h.table.Announce(sim.clock(h), a) })
	}
}

func (sim *simulation) clock(h *host) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(sim.now) * h.rate))
}

func (sim *simulation) after(on *host, millis int, do func()) {
	sim.events = append(sim.events, event{at: sim.now + time.Duration(millis)*time.Millisecond, on: on, do: do})
}

func (sim *simulation) runEvents() {
	due := sim.events
	sim.events = nil
	for _, e := range due {
		if e.at > sim.now || (e.on != nil && e.on.suspendedUntil > sim.now) {
			sim.events = append(sim.events, e)
			continue
		}
		e.do()
	}
}

// injectFault suspends a host, restarts an engine, advances the log's clock or changes the settings.
func (sim *simulation) injectFault() {
	if sim.faultless {
		return
	}
	switch sim.r.IntN(600) {
	case 0, 1:
		h := sim.hosts[sim.r.IntN(2)]
		h.suspendedUntil = sim.now + time.Duration(sim.r.IntN(40000))*time.Millisecond
		sim.counts.suspensions++
	case 2:
		e := sim.engines[sim.r.IntN(len(sim.engines))]
		e.a.Incarnation++
		e.a.Sequence = 0
		e.a.LastOrder = ""
		e.forget()
	case 3:
		sim.logAhead += time.Duration(sim.r.IntN(12000)) * time.Millisecond
	case 4, 5:
		sim.set(fmt.Sprintf("v%d", sim.r.IntN(4)))
	}
}

func (sim *simulation) command(c lease.Command) lease.Result {
	b, _ := codec.Marshal(c)
	at := time.Unix(5000, 0).Add(sim.now + sim.logAhead)
	r, _ := codec.Unmarshal[lease.Result](sim.leases.Apply(at, b))
	return r
}
