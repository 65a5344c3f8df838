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

// engine is a fake that carries out each id once and loads for loadTime, longer while more than two load.
type engine struct {
	a       announcement.Announcement
	checks  bool
	fencing uint64
	states  map[string]Progress
	loading map[string]Order
	left    map[string]time.Duration
}

// giver is a controller with its adapter: it holds or wants the lease and sends what is planned.
type giver struct {
	name    string
	c       Controller
	table   membership.Table
	term    lease.Term
	frozen  time.Duration
	due     time.Duration
	unsent  []Instruction
	plan    Plan
	rate    float64
	renewed uint64
}

// event is something that happens later.
type event struct {
	at time.Duration
	// on is frozen with its giver; nil is not.
	on *giver
	do func()
}

// world runs engines, two givers and one copy of the leases in virtual time.
type world struct {
	r        *rand.Rand
	now      time.Duration
	leases   state.Section
	logAhead time.Duration
	engines  []*engine
	givers   []*giver
	settings *rules.Snapshot
	events   []event
	calm     bool
	fault    string
	tally    tally
}

// tally counts what happened.
type tally struct {
	loads, refused, repeated, terms, freezes int
}

func newWorld(seed uint64) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 9)), leases: lease.New()}
	w.set("v1")
	for i := range 6 {
		w.engines = append(w.engines, newEngine(i))
	}
	for i := range 2 {
		g := &giver{name: fmt.Sprintf("entry-%d", i), c: New(Config{}), table: membership.New(membership.Config{}), rate: 1 + (w.r.Float64()-0.5)*0.02}
		w.givers = append(w.givers, g)
	}
	return w
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

// order takes an order as docs/interfaces/backend.md says.
func (w *world) order(e *engine, o Order) Outcome {
	out := Outcome{Engine: e.a.Identity, ID: o.ID, Result: Answered}
	if e.checks && o.Fencing < e.fencing {
		w.tally.refused++
		out.Result = Fenced
		return out
	}
	e.fencing = max(e.fencing, o.Fencing)
	if p, ok := e.states[o.ID]; ok {
		w.tally.repeated++
		out.State = p
		return out
	}
	if len(e.loading) > 0 {
		w.fault = fmt.Sprintf("at %v %s got a second order while it loads", w.now, e.a.Identity)
	}
	if _, has := versions(e.a, o.Model, o.WeightVersion); has {
		w.fault = fmt.Sprintf("at %v %s loads %s again", w.now, e.a.Identity, o.WeightVersion)
	}
	w.tally.loads++
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

// work lets the engine load for one step; now and then a load fails.
func (w *world) work(e *engine, step time.Duration, all int) {
	for id, o := range e.loading {
		e.left[id] -= step * 2 / time.Duration(max(2, all))
		if e.left[id] > 0 {
			continue
		}
		delete(e.loading, id)
		if !w.calm && w.r.IntN(12) == 0 {
			e.states[id] = Failed
			continue
		}
		e.states[id] = Done
		e.a.LastOrder = id
		e.a.Holdings = []announcement.Holding{{Model: o.Model, WeightVersion: o.WeightVersion}}
	}
}

// set changes the settings.
func (w *world) set(version string) {
	w.settings = &rules.Snapshot{
		Fleet:  rules.Fleet{WeightLoads: 2},
		Models: map[string]rules.Model{"m": {Name: "m", WeightVersion: version}},
	}
}

func (w *world) run(length time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.now + length; w.now < end && w.fault == ""; w.now += step {
		w.happen()
		w.upset()
		for _, g := range w.givers {
			w.tick(g)
		}
		loads := 0
		for _, e := range w.engines {
			loads += len(e.loading)
		}
		if loads > 2 {
			w.fault = fmt.Sprintf("at %v %d weight loads run at once", w.now, loads)
		}
		for i, e := range w.engines {
			w.work(e, step, loads)
			if (w.now/step)%20 == time.Duration(i) {
				w.announce(e)
			}
		}
	}
}

func (w *world) announce(e *engine) {
	e.a.Sequence++
	a := e.a
	for _, g := range w.givers {
		w.after(g, w.r.IntN(100), func() { g.table.Announce(w.clock(g), a) })
	}
}

func (w *world) clock(g *giver) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(w.now) * g.rate))
}

func (w *world) after(on *giver, millis int, do func()) {
	w.events = append(w.events, event{at: w.now + time.Duration(millis)*time.Millisecond, on: on, do: do})
}

func (w *world) happen() {
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at > w.now || (e.on != nil && e.on.frozen > w.now) {
			w.events = append(w.events, e)
			continue
		}
		e.do()
	}
}

// upset freezes a giver, restarts an engine, moves the log's clock or changes the settings.
func (w *world) upset() {
	if w.calm {
		return
	}
	switch w.r.IntN(600) {
	case 0, 1:
		g := w.givers[w.r.IntN(2)]
		g.frozen = w.now + time.Duration(w.r.IntN(40000))*time.Millisecond
		w.tally.freezes++
	case 2:
		e := w.engines[w.r.IntN(len(w.engines))]
		e.a.Incarnation++
		e.a.Sequence = 0
		e.a.LastOrder = ""
		e.forget()
	case 3:
		w.logAhead += time.Duration(w.r.IntN(12000)) * time.Millisecond
	case 4, 5:
		w.set(fmt.Sprintf("v%d", w.r.IntN(4)))
	}
}

func (w *world) command(c lease.Command) lease.Result {
	b, _ := codec.Marshal(c)
	at := time.Unix(5000, 0).Add(w.now + w.logAhead)
	r, _ := codec.Unmarshal[lease.Result](w.leases.Apply(at, b))
	return r
}
