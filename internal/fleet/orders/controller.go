package orders

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hornbeamwood/internal/control/lease"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/settings/rules"
)

// Controller decides which orders are given; one goroutine uses it.
//
// Orders that may be under way are named in the lease's note before they are
// sent. The next holder of the lease reads them back, so that it neither
// exceeds the number of loads at once nor gives an engine a second order
// while the first runs.
type Controller interface {
	// Begin starts a term of the lease with the orders of the earlier holder's note.
	Begin(now time.Time, t lease.Term, inherited []Outstanding)
	// Renewed takes in a renewal that committed the note of the given version.
	Renewed(t lease.Term, noteVersion uint64)
	// End ends the term.
	End()
	// Plan returns what is to be done now.
	Plan(now time.Time, in Input) Plan
	// MaySend returns whether the lease still allows an order of the last Plan to be sent.
	MaySend(now time.Time, o Order) bool
	// Answered takes in the outcome of a sent order or of a question; each Instruction gets one.
	Answered(now time.Time, o Outcome)
}

// Input is what the controller compares.
type Input struct {
	// Settings say which weight version each model has.
	Settings *rules.Snapshot
	// Servers are the backend servers as they are known.
	Servers []*membership.Server
}

type retry struct {
	attempt int
	after   time.Time
}

type controller struct {
	config  Config
	term    lease.Term
	opens   time.Time
	jobs    map[string]*job
	retries map[target]retry
	version uint64
	noted   uint64
	fenced  bool
}

// New returns a Controller without a term.
func New(c Config) Controller {
	return &controller{config: c.withDefaults(), jobs: map[string]*job{}, retries: map[target]retry{}}
}

// Begin implements Controller.
//
// The earlier holder may count its lease until Quiet, and what it sent right
// before may be on its way for Flight. Engines that check fencing numbers
// would refuse it; the others would carry out both orders.
func (c *controller) Begin(now time.Time, t lease.Term, inherited []Outstanding) {
	c.End()
	c.term = t
	c.opens = now
	if t.Quiet.After(now) {
		c.opens = t.Quiet
	}
	if t.Quiet.After(now) || len(inherited) > 0 {
		c.opens = c.opens.Add(c.config.Flight)
	}
	for _, o := range inherited {
		c.jobs[o.Engine] = &job{
			Outstanding: o,
			step:        lost,
			reason:      Inherited,
			contact:     c.opens,
			sent:        c.opens.Add(-c.config.Flight),
			loose:       true,
		}
	}
}

// Renewed implements Controller.
func (c *controller) Renewed(t lease.Term, noteVersion uint64) {
	if t.Fencing != c.term.Fencing {
		return
	}
	c.term = t
	c.noted = max(c.noted, noteVersion)
}

// End implements Controller.
func (c *controller) End() {
	c.term = lease.Term{}
	c.jobs = map[string]*job{}
	c.fenced = false
	c.version++
	c.noted = 0
}

// MaySend implements Controller.
func (c *controller) MaySend(now time.Time, o Order) bool {
	return c.term.Valid(now) && !c.fenced && o.Fencing == c.term.Fencing && !now.Before(c.opens)
}

// Plan implements Controller.
func (c *controller) Plan(now time.Time, in Input) Plan {
	if !c.term.Valid(now) || c.fenced || in.Settings == nil {
		return Plan{NoteVersion: c.version}
	}
	servers := named(in.Servers)
	c.settle(now, in, servers)
	if !now.Before(c.opens) {
		c.add(now, in, servers)
	}
	p := Plan{NoteVersion: c.version}
	for _, k := range slices.Sorted(maps.Keys(c.jobs)) {
		c.put(&p, now, c.jobs[k], servers[k])
	}
	return p
}

func named(all []*membership.Server) map[string]*membership.Server {
	m := make(map[string]*membership.Server, len(all))
	for _, s := range all {
		m[s.Announcement().Identity] = s
	}
	return m
}

// put adds to the plan what the job needs now.
func (c *controller) put(p *Plan, now time.Time, j *job, s *membership.Server) {
	if j.step != done || j.flying(now, c.config.Flight) {
		p.Note = append(p.Note, j.Outstanding)
	}
	if s == nil {
		return
	}
	i := Instruction{
		Engine:  j.Engine,
		Address: s.Announcement().Address,
		Order:   j.Order,
		Reason:  j.reason,
	}
	switch {
	case j.step == planned && c.noted >= j.note && !now.Before(c.opens):
		j.step, j.contact, j.sent, j.loose = sending, now, now, false
		p.Send = append(p.Send, i)
	case (j.step == lost || j.step == running) && !j.reading && now.Sub(j.asked) >= c.config.Recheck:
		j.asked, j.reading = now, true
		p.Read = append(p.Read, i)
	}
}

// settle ends the jobs that are over, by what the engines announce.
func (c *controller) settle(now time.Time, in Input, servers map[string]*membership.Server) {
	for k, j := range c.jobs {
		s := servers[k]
		switch {
		case j.flying(now, c.config.Flight):
			// A copy may come yet, to this incarnation or the next; the job keeps its place.
		case s != nil && s.Announcement().Incarnation > j.Incarnation:
			c.outlive(k, j, s.Announcement().Incarnation)
		case s != nil && j.shown(s):
			c.finish(k, j)
		case j.step == done && now.Sub(j.contact) > c.config.Confirm:
			c.fail(now, k, j)
		case j.step == planned && (s == nil || unfit(now, s) || !wanted(in, j.Order)):
			c.drop(k)
		case now.Sub(j.contact) > c.config.LoadLimit:
			c.fail(now, k, j)
		}
	}
	maps.DeleteFunc(c.retries, func(t target, r retry) bool {
		s := servers[t.engine]
		return s == nil || s.Announcement().Incarnation > t.incarnation
	})
}

// wanted returns whether the settings still say what the order brings about.
func wanted(in Input, o Order) bool {
	return in.Settings.Models[o.Model].WeightVersion == o.WeightVersion
}

// outlive ends a job whose engine has restarted.
//
// An order may have reached the new incarnation already or may still do so,
// before its first announcement comes here. Dropped, it would run beside the
// next one; so it is read back.
func (c *controller) outlive(engine string, j *job, incarnation uint64) {
	if j.step == planned || (j.step == done && !j.loose) {
		c.drop(engine)
		return
	}
	c.version++
	j.Incarnation = incarnation
	j.step = lost
	j.reason = AnswerLost
}

func (c *controller) drop(engine string) {
	delete(c.jobs, engine)
	c.version++
}

// finish ends a job that is carried out; when the same is wanted again later, it needs another id, or the engine would say that it is done.
func (c *controller) finish(engine string, j *job) {
	t := targetOf(j.Outstanding)
	r := c.retries[t]
	r.attempt++
	c.retries[t] = r
	c.drop(engine)
}

// fail ends the job and lets the same be ordered under another id after a pause.
func (c *controller) fail(now time.Time, engine string, j *job) {
	t := targetOf(j.Outstanding)
	c.retries[t] = retry{attempt: c.retries[t].attempt + 1, after: now.Add(c.config.Pause)}
	c.drop(engine)
}

// Answered implements Controller.
func (c *controller) Answered(now time.Time, o Outcome) {
	j := c.jobs[o.Engine]
	if j == nil || j.Order.ID != o.ID {
		return
	}
	j.reading = false
	switch o.Result {
	case Answered:
		c.progress(now, j, o.State)
	case NotSent:
		c.notSent(now, j)
	case Lost:
		c.lose(j)
	case Unknown:
		c.unknown(now, j)
	case Fenced:
		c.fenced = true
	}
}

func (c *controller) progress(now time.Time, j *job, p Progress) {
	j.contact = now
	switch p {
	case Running:
		j.step = running
		j.reason = InProgress
	case Done:
		j.step = done
		c.version++
	case Failed:
		c.fail(now, j.Engine, j)
	}
}

// notSent ends a job that provably did not arrive; an order that was only asked about stays as it is.
func (c *controller) notSent(now time.Time, j *job) {
	if j.step != sending {
		return
	}
	t := targetOf(j.Outstanding)
	c.retries[t] = retry{attempt: c.retries[t].attempt, after: now.Add(c.config.Recheck)}
	c.drop(j.Engine)
}

func (c *controller) lose(j *job) {
	if j.step == sending {
		j.step = lost
		j.reason = AnswerLost
		j.loose = true
	}
}

// unknown gives an order again that its engine does not know once it can't be on its way any more.
//
// The question must have been asked after that time, or a copy may have come
// in behind it. The order keeps its id, so that even a copy that comes later
// than Flight is done once; settle drops it when it is not wanted any more.
func (c *controller) unknown(now time.Time, j *job) {
	if j.step == sending || j.step == planned || j.asked.Sub(j.sent) < c.config.Flight {
		return
	}
	c.version++
	j.step = planned
	j.note = c.version
	j.contact = now
	j.Order.Fencing = c.term.Fencing
}

func compareNames(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.share, b.share),
		cmp.Compare(a.model, b.model),
		cmp.Compare(a.engine, b.engine),
	)
}
