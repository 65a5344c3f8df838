package raft_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var (
	stepsFlag = flag.Int("raft.steps", 400000, "steps of the random schedules of TestRandomSchedules")
	seedFlag  = flag.Int64("raft.seed", 20261203, "seed of the random schedules of TestRandomSchedules")
)

// stepsPerRun is the length of one schedule.
const stepsPerRun = 2000

var errFault = errors.New("injected fault")

// action is one kind of step and how often it comes, in relation to the others.
type action struct {
	name   string
	weight uint32
	do     func(w *world, v *vm, choice int)
}

var actions = []action{
	{"deliver", 400, func(w *world, _ *vm, n int) { w.deliver(n, false) }},
	{"deliver in order", 600, func(w *world, _ *vm, _ int) { w.deliver(0, false) }},
	{"tick", 200, func(w *world, v *vm, _ int) { w.tick(v) }},
	{"tick all", 120, func(w *world, _ *vm, _ int) { w.tickAll() }},
	{"propose", 80, func(w *world, _ *vm, n int) { w.atLeader(n, func(v *vm) { w.propose(v, n%5 == 0) }) }},
	{"read", 60, func(w *world, _ *vm, n int) { w.atLeader(n, w.read) }},
	{"drop", 40, func(w *world, _ *vm, n int) { w.drop(n) }},
	{"duplicate", 40, func(w *world, _ *vm, n int) { w.deliver(n, true) }},
	{"cut one direction", 8, func(w *world, v *vm, n int) { w.cuts[[2]string{v.address, w.vms[n%len(w.vms)].address}] = true }},
	{"cut off", 4, func(w *world, v *vm, _ int) { w.isolate(v) }},
	{"heal", 12, func(w *world, _ *vm, _ int) { clear(w.cuts) }},
	{"silence", 12, func(w *world, _ *vm, n int) { w.silence(3 + n%10) }},
	{"freeze leader", 8, func(w *world, _ *vm, n int) { w.atLeader(n, func(v *vm) { v.frozen = true }) }},
	{"thaw", 8, func(w *world, _ *vm, _ int) { w.thaw() }},
	{"crash leader", 6, func(w *world, _ *vm, n int) { w.atLeader(n, (*vm).stop) }},
	{"crash and restart", 16, func(_ *world, v *vm, _ int) { v.restart() }},
	{"crash", 8, func(_ *world, v *vm, _ int) { v.stop() }},
	{"restart", 24, func(w *world, _ *vm, _ int) { w.restart() }},
	{"lose disk", 3, func(w *world, v *vm, _ int) { w.loseDisk(v) }},
	{"change members", 24, func(w *world, _ *vm, n int) { w.atLeader(n, func(v *vm) { w.change(v, n) }) }},
	{"join", 24, func(w *world, _ *vm, _ int) { w.admit() }},
	{"snapshot", 12, func(_ *world, v *vm, n int) { v.save(uint64(n % 4)) }},
	{"file fault", 4, func(w *world, v *vm, n int) { w.fault(v, n%6) }},
	{"hand over", 4, func(w *world, _ *vm, n int) { w.atLeader(n, func(v *vm) { v.core.Transfer(); v.settle() }) }},
}

func (w *world) tickAll() {
	for _, v := range w.vms {
		w.tick(v)
	}
}

// silence lets time pass while nothing arrives, so that several candidates meet.
func (w *world) silence(ticks int) {
	for range ticks {
		w.tickAll()
	}
}

// thaw lets frozen VMs go on; callers that waited there are served first.
func (w *world) thaw() {
	for _, v := range w.vms {
		if !v.frozen {
			continue
		}
		v.frozen = false
		if v.core != nil {
			w.read(v)
			w.propose(v, false)
		}
	}
}

func (w *world) atLeader(n int, do func(*vm)) {
	if leaders := w.leaders(); len(leaders) > 0 {
		do(leaders[n%len(leaders)])
	}
}

func (w *world) drop(n int) {
	if len(w.flight) > 0 {
		n %= len(w.flight)
		w.flight = append(w.flight[:n:n], w.flight[n+1:]...)
	}
}

func (w *world) isolate(v *vm) {
	for _, o := range w.vms {
		w.cuts[[2]string{v.address, o.address}] = true
		w.cuts[[2]string{o.address, v.address}] = true
	}
}

func (v *vm) stop() {
	if v.up {
		v.crash()
	}
}

// restart ends a replica and starts it at once, so that messages to its former life still reach it.
func (v *vm) restart() {
	if v.up {
		v.crash()
		v.start()
	}
}

func (w *world) restart() {
	for _, v := range w.vms {
		if !v.up {
			v.start()
		}
	}
}

func (w *world) loseDisk(v *vm) {
	if v.identity != "" && w.mayLose(v) {
		v.lose()
	}
}

// weigh draws how often each action comes in the schedule of a seed.
//
// With one mix for all schedules some faults need an order of steps that
// hardly ever comes; a mix of its own for each seed reaches many more.
func weigh(seed uint64) []uint32 {
	random := rand.New(rand.NewPCG(seed, 2))
	weights := make([]uint32, len(actions))
	for i, a := range actions {
		weights[i] = a.weight << random.IntN(5) / 4
	}
	return weights
}

// step does the action that a drawn number stands for.
func (w *world) step(number uint32) {
	a, choice := w.action(number)
	a.do(w, w.vms[choice%len(w.vms)], choice/len(w.vms))
}

func (w *world) action(number uint32) (action, int) {
	total := uint32(0)
	for _, weight := range w.weights {
		total += weight
	}
	pick, choice := number%total, int(number/total)
	for i, weight := range w.weights {
		if pick < weight {
			return actions[i], choice
		}
		pick -= weight
	}
	panic("unreachable")
}

// calmRounds is how many rounds without faults a group gets to accept an edit and bring all members up to it.
const calmRounds = 400

// settles returns an error unless the group works again once the faults end.
func (w *world) settles() error {
	clear(w.cuts)
	w.thaw()
	before := w.oracle.edits
	for round := range calmRounds {
		w.restart()
		w.admit()
		w.tickAll()
		w.atLeader(0, w.read)
		for range maxFlight {
			w.deliver(0, false)
		}
		if w.oracle.broken != nil {
			return w.oracle.broken
		}
		if w.oracle.edits == before {
			if round%10 == 0 {
				w.atLeader(0, func(v *vm) { w.propose(v, false) })
			}
			continue
		}
		if w.level() {
			return nil
		}
	}
	return fmt.Errorf("liveness: no edit reached all members within %d rounds without faults\n%v\n%v", calmRounds, w.vms, w.vms[0].last)
}

// level returns whether every living member of the leader's configuration has applied all that is committed.
func (w *world) level() bool {
	leaders := w.leaders()
	if len(leaders) == 0 {
		return false
	}
	c := leaders[0].core.Status().Configuration
	for _, v := range w.vms {
		if _, ok := c.Member(v.identity); ok && v.applied < uint64(len(w.oracle.committed)) {
			return false
		}
	}
	return true
}

// runSchedule returns the first rule that a schedule breaks.
func runSchedule(seed uint64, numbers []uint32) (*world, error) {
	w := newWorld(seed)
	for i, n := range numbers {
		w.step(n)
		if w.oracle.broken != nil {
			return w, fmt.Errorf("step %d: %w", i, w.oracle.broken)
		}
	}
	return w, w.settles()
}

// draw returns the numbers of the schedule that a seed stands for.
func draw(seed uint64, steps int) []uint32 {
	random := rand.New(rand.NewPCG(seed, 1))
	numbers := make([]uint32, steps)
	for i := range numbers {
		numbers[i] = random.Uint32()
	}
	return numbers
}

// reduce drops steps as long as the schedule still breaks a rule.
func reduce(seed uint64, numbers []uint32) ([]uint32, error) {
	_, broken := runSchedule(seed, numbers)
	for size := len(numbers) / 2; size > 0; size /= 2 {
		for at := 0; at+size <= len(numbers); {
			shorter := slices.Concat(numbers[:at], numbers[at+size:])
			if _, err := runSchedule(seed, shorter); err != nil {
				numbers, broken = shorter, err
				continue
			}
			at += size
		}
	}
	return numbers, broken
}

// names returns what the steps of a schedule do.
func names(seed uint64, numbers []uint32) string {
	w := &world{weights: weigh(seed)}
	var all []string
	for _, n := range numbers {
		a, choice := w.action(n)
		all = append(all, fmt.Sprintf("%s %d/%d", a.name, choice%machinesOf(seed), choice/machinesOf(seed)))
	}
	return strings.Join(all, ", ")
}

// Messages between VMs are lost, late, doubled and overtake each other, links
// fail in one direction, VMs die with unsynced writes, come back with empty
// disks under their old addresses, and operators change the members meanwhile.
// Were the log to allow it, an operator would see an accepted edit vanish, two
// edits win under one number, or a read that is older than the one before.
func TestRandomSchedules(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(*seedFlag)
	parameters.MinSuccessfulTests = max(1, *stepsFlag/stepsPerRun)
	steps, edits, reads, faults, terms, disks := 0, 0, 0, 0, 0, 0
	run := 0
	properties := gopter.NewProperties(parameters)
	properties.Property("the log keeps its rules", prop.ForAll(
		func(seed uint64) (string, error) {
			run++
			numbers := draw(seed, stepsPerRun)
			w, err := runSchedule(seed, numbers)
			steps += len(numbers)
			edits += w.oracle.edits
			reads += w.oracle.reads
			faults += w.faults
			terms += len(w.oracle.leaders)
			disks += len(w.dead)
			if err != nil {
				short, broken := reduce(seed, numbers)
				return "", fmt.Errorf("%w\nshortest schedule found, seed %d: %v\n%s: %w", err, seed, short, names(seed, short), broken)
			}
			return "", nil
		},
		gen.UInt64().WithShrinker(gopter.NoShrinker),
	))
	properties.TestingRun(t)
	t.Logf("%d steps in %d schedules: %d edits accepted, %d reads confirmed, %d terms with a leader, %d disks lost, %d file faults", steps, run, edits, reads, terms, disks, faults)
}

// Schedules that broke a rule once; the numbers are their seeds.
func TestSchedulesThatShowedFaults(t *testing.T) {
	for _, seed := range []uint64{
		// A replica that is removed in its own log stood still while the others needed it.
		1844937388822592023,
		// A learner restarted in the middle of a snapshot and got a late copy of its first chunk.
		12418803768635305241,
		// A learner alone had the last entries, and a candidate took it for a voter.
		683914461263213200,
	} {
		if _, err := runSchedule(seed, draw(seed, stepsPerRun)); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
