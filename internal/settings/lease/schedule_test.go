package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// clock is a VM's clock: true time at another rate and from another origin.
type clock struct {
	rate   float64
	origin time.Duration
}

func (c clock) at(t time.Duration) time.Time {
	return start.Add(c.origin + time.Duration(float64(t)*c.rate))
}

func randomClock(r *rand.Rand) clock {
	limit := 1.0 / MarginShare
	return clock{rate: 1 + limit*(2*r.Float64()-1), origin: time.Duration(r.IntN(1000)) * second}
}

// replica is a control replica as the schedule sees it: what it believes is the newest revision.
type replica struct {
	clock   clock
	holders Holders
	known   uint64
	term    uint64
}

// report is one entry's report on its way.
type report struct {
	entry     int
	sentAt    time.Time
	applied   uint64
	replica   int
	confirmed bool
	answered  uint64
	stage     int
}

// fleet is a random schedule of entries, replicas, edits, cuts and freezes.
type fleet struct {
	random   *rand.Rand
	now      time.Duration
	revision uint64
	leader   int
	term     uint64
	replicas []*replica
	clocks   []clock
	keepers  []Keeper
	applied  []uint64
	reports  []*report
	declared uint64
	denied   int
	served   int
}

const leaseLength = 4 * second

func newFleet(r *rand.Rand) *fleet {
	f := &fleet{random: r, revision: 1, term: 1}
	for range 3 {
		f.replicas = append(f.replicas, &replica{clock: randomClock(r), holders: NewHolders(nil), known: 1, term: 1})
	}
	for range 4 {
		f.clocks = append(f.clocks, randomClock(r))
		f.keepers = append(f.keepers, NewKeeper())
		f.applied = append(f.applied, 1)
	}
	return f
}

// step carries out one random event and returns false when a promise is broken.
func (f *fleet) step() bool {
	f.now += time.Duration(f.random.IntN(150)) * time.Millisecond
	if f.random.IntN(50) == 0 {
		f.now += time.Duration(f.random.IntN(20)) * second
	}
	switch n := f.random.IntN(20); {
	case n < 4:
		f.send()
	case n < 15:
		f.advance()
	case n == 15:
		f.revision++
		f.replicas[f.leader].known = f.revision
	case n == 16 && f.random.IntN(3) == 0:
		f.elect()
	default:
		f.ask()
	}
	return f.kept()
}

func (f *fleet) send() {
	e := f.random.IntN(len(f.keepers))
	f.reports = append(f.reports, &report{
		entry:   e,
		sentAt:  f.clocks[e].at(f.now),
		applied: f.applied[e],
		replica: f.target(),
	})
}

// target returns the replica that an entry takes for the leader, mostly rightly.
func (f *fleet) target() int {
	if f.random.IntN(4) == 0 {
		return f.random.IntN(len(f.replicas))
	}
	return f.leader
}

// elect makes a replica the leader of a new term; an older leader may not have heard of it.
func (f *fleet) elect() {
	f.leader = f.random.IntN(len(f.replicas))
	f.term++
	l := f.replicas[f.leader]
	l.known = f.revision
	l.term = f.term
}

// advance moves one random report on by one stage: the note of a replica that
// may be an older leader, the quorum's confirmation of the leader, the answer
// from a replica's state, the answer at the entry. A report that is never
// drawn again is lost; one that is drawn late is delayed.
func (f *fleet) advance() {
	if len(f.reports) == 0 {
		return
	}
	p := f.reports[max(0, len(f.reports)-1-f.random.IntN(4))]
	if f.random.IntN(8) == 0 {
		p = f.reports[f.random.IntN(len(f.reports))]
	}
	l := f.replicas[p.replica]
	p.stage++
	switch p.stage {
	case 1:
		r := Renewal{Holder: Holder{Name: string(rune('a' + p.entry))}, Applied: p.applied, Lease: leaseLength}
		l.holders.Renew(l.clock.at(f.now), l.term, r, terms(l.known))
	case 2:
		p.confirmed = p.replica == f.leader
		p.answered = l.known
	case 3:
		// The answer may come from a replica that has applied more since.
		p.answered = max(p.answered, f.replicas[f.random.IntN(len(f.replicas))].known)
	case 4:
		f.answer(p)
	}
}

func (f *fleet) answer(p *report) {
	if !p.confirmed {
		return
	}
	f.applied[p.entry] = max(f.applied[p.entry], p.answered)
	f.keepers[p.entry].Confirm(Proof{SentAt: p.sentAt, Applied: p.applied, Confirmed: p.answered, Lease: leaseLength})
}

// ask asks the leader, confirmed by a quorum, what is in force.
func (f *fleet) ask() {
	l := f.replicas[f.leader]
	for r := f.declared + 1; r <= f.revision; r++ {
		if !l.holders.InForce(l.clock.at(f.now), l.term, r, terms(l.known)).InForce {
			f.denied++
			return
		}
		f.declared = r
	}
}

// kept says whether no entry takes new work under a revision older than one that was declared in force.
func (f *fleet) kept() bool {
	for e, k := range f.keepers {
		if k.Check(f.clocks[e].at(f.now), false) != nil {
			continue
		}
		f.served++
		if f.applied[e] < f.declared {
			return false
		}
	}
	return true
}

// Entries report, answers are lost, delayed and crossed, leaders change while
// reports are under way, VMs freeze, and all clocks run at different rates.
// When an operator has been told that an edit is in force, no caller anywhere
// may be served under older settings.
func TestNoEntryServesUnderARevisionThatIsNoLongerInForce(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(31)
	parameters.MinSuccessfulTests = 200
	p := gopter.NewProperties(parameters)
	var declared, served, denied int
	p.Property("in force is never said early", prop.ForAll(func(seed uint64) bool {
		f := newFleet(rand.New(rand.NewPCG(seed, 1)))
		for range 400 {
			if !f.step() {
				return false
			}
		}
		declared += int(f.declared)
		served += f.served
		denied += f.denied
		return true
	}, gen.UInt64()))
	p.TestingRun(t)
	t.Logf("%d revisions declared in force, %d times not yet, %d checks that let work in", declared, denied, served)
	if declared == 0 || served == 0 || denied == 0 {
		t.Error("the schedule met too few cases")
	}
}
