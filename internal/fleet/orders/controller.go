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

// Controller decides which orders are sent; it must be used by one goroutine.
//
// Orders that may be in flight are written to the lease's note before they are
// sent. The next lease holder recovers them from the note, so that it neither
// exceeds the limit of concurrent loads nor sends an engine a second order
// while the first one runs.
type Controller interface {
	// Begin starts sending under a newly acquired lease, with the orders from the previous holder's note.
	Begin(now time.Time, l lease.HeldLease, inherited []Outstanding)
	// Renewed records a renewal that committed the note of the given version.
	Renewed(l lease.HeldLease, noteVersion uint64)
	// End stops sending and drops all orders, because the lease has ended.
	End()
	// Plan returns the actions that are due now.
	Plan(now time.Time, in Input) Plan
	// MaySend reports whether the lease still allows sending an order of the last Plan.
	MaySend(now time.Time, o Order) bool
	// RecordOutcome records the outcome of sending an order or reading its state; it is called once for each Instruction.
	RecordOutcome(now time.Time, o Outcome)
}

// Input holds the wanted and the actual state that the controller compares.
type Input struct {
	// Settings have the wanted weight version of each model.
	Settings *rules.Snapshot
	// Servers are the records of the backend servers.
	Servers []*membership.Server
}

type retry struct {
	attempt int
	after   time.Time
}

type controller struct {
	config        Config
	held          lease.HeldLease
	sendFrom      time.Time
	jobs          map[string]*job
	retries       map[target]retry
	noteVersion   uint64
	committedNote uint64
	fenced        bool
}

// New returns a Controller without a lease.
func New(c Config) Controller {
	return &controller{config: c.withDefaults(), jobs: map[string]*job{}, retries: map[target]retry{}}
}

// Begin implements Controller.
//
// The previous holder may consider its lease valid until ActiveFrom, and an order
// that it sent right before that may be in flight for up to Flight. Engines
// that check fencing numbers would refuse that order; the others would carry
// out both orders.
func (c *controller) Begin(now time.Time, l lease.HeldLease, inherited []Outstanding) {
	c.End()
	c.held = l
	c.sendFrom = now
	if l.ActiveFrom.After(now) {
		c.sendFrom = l.ActiveFrom
	}
	if l.ActiveFrom.After(now) || len(inherited) > 0 {
		c.sendFrom = c.sendFrom.Add(c.config.Flight)
	}
	for _, o := range inherited {
		c.jobs[o.Engine] = &job{
			Outstanding:   o,
			step:          lost,
			reason:        Inherited,
			contact:       c.sendFrom,
			sent:          c.sendFrom.Add(-c.config.Flight),
			answerMissing: true,
		}
	}
}

// Renewed implements Controller.
func (c *controller) Renewed(l lease.HeldLease, noteVersion uint64) {
	if l.Fencing != c.held.Fencing {
		return
	}
	c.held = l
	c.committedNote = max(c.committedNote, noteVersion)
}

// End implements Controller.
func (c *controller) End() {
	c.held = lease.HeldLease{}
	c.jobs = map[string]*job{}
	c.fenced = false
	c.noteVersion++
	c.committedNote = 0
}

// MaySend implements Controller.
func (c *controller) MaySend(now time.Time, o Order) bool {
	return c.held.Valid(now) && !c.fenced && o.Fencing == c.held.Fencing && !now.Before(c.sendFrom)
}

// Plan implements Controller.
func (c *controller) Plan(now time.Time, in Input) Plan {
	if !c.held.Valid(now) || c.fenced || in.Settings == nil {
		return Plan{NoteVersion: c.noteVersion}
	}
	servers := byIdentity(in.Servers)
	c.removeEnded(now, in, servers)
	if !now.Before(c.sendFrom) {
		c.planLoads(now, in, servers)
	}
	p := Plan{NoteVersion: c.noteVersion}
	for _, k := range slices.Sorted(maps.Keys(c.jobs)) {
		c.addActions(&p, now, c.jobs[k], servers[k])
	}
	return p
}

func byIdentity(all []*membership.Server) map[string]*membership.Server {
	m := make(map[string]*membership.Server, len(all))
	for _, s := range all {
		m[s.Announcement().Identity] = s
	}
	return m
}

// addActions adds the actions that the job needs now to the plan.
func (c *controller) addActions(p *Plan, now time.Time, j *job, s *membership.Server) {
	if j.step != done || j.inFlight(now, c.config.Flight) {
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
	case j.step == planned && c.committedNote >= j.noteVersion && !now.Before(c.sendFrom):
		j.step, j.contact, j.sent, j.answerMissing = sending, now, now, false
		p.Send = append(p.Send, i)
	case (j.step == lost || j.step == running) && !j.readPending && now.Sub(j.asked) >= c.config.Recheck:
		j.asked, j.readPending = now, true
		p.Read = append(p.Read, i)
	}
}

// removeEnded removes the jobs that have ended according to the engines' announcements.
func (c *controller) removeEnded(now time.Time, in Input, servers map[string]*membership.Server) {
	for k, j := range c.jobs {
		s := servers[k]
		switch {
		case j.inFlight(now, c.config.Flight):
			// A copy may still arrive at this incarnation or the next, so the job is kept.
		case s != nil && s.Announcement().Incarnation > j.Incarnation:
			c.engineRestarted(k, j, s.Announcement().Incarnation)
		case s != nil && j.confirmedBy(s):
			c.finish(k, j)
		case j.step == done && now.Sub(j.contact) > c.config.ConfirmTimeout:
			c.fail(now, k, j)
		case j.step == planned && (s == nil || unavailable(now, s) || !wanted(in, j.Order)):
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

// wanted reports whether the settings still want the order's weight version.
func wanted(in Input, o Order) bool {
	return in.Settings.Models[o.Model].WeightVersion == o.WeightVersion
}

// engineRestarted handles a job whose engine has restarted.
//
// The order may reach the new incarnation before its first announcement
// arrives here, or may have done so already. If it were dropped, it would run
// in parallel with the next order, so its state is read from the engine.
func (c *controller) engineRestarted(engine string, j *job, incarnation uint64) {
	if j.step == planned || (j.step == done && !j.answerMissing) {
		c.drop(engine)
		return
	}
	c.noteVersion++
	j.Incarnation = incarnation
	j.step = lost
	j.reason = AnswerLost
}

func (c *controller) drop(engine string) {
	delete(c.jobs, engine)
	c.noteVersion++
}

// finish ends a completed job. A later order for the same target needs another ID, or the engine would report it as done.
func (c *controller) finish(engine string, j *job) {
	t := targetOf(j.Outstanding)
	r := c.retries[t]
	r.attempt++
	c.retries[t] = r
	c.drop(engine)
}

// fail ends the job; its target may be retried under another ID after the backoff.
func (c *controller) fail(now time.Time, engine string, j *job) {
	t := targetOf(j.Outstanding)
	c.retries[t] = retry{attempt: c.retries[t].attempt + 1, after: now.Add(c.config.Backoff)}
	c.drop(engine)
}

// RecordOutcome implements Controller.
func (c *controller) RecordOutcome(now time.Time, o Outcome) {
	j := c.jobs[o.Engine]
	if j == nil || j.Order.ID != o.ID {
		return
	}
	j.readPending = false
	switch o.Result {
	case Answered:
		c.progress(now, j, o.State)
	case NotSent:
		c.notSent(now, j)
	case Lost:
		c.answerLost(j)
	case Unknown:
		c.orderUnknown(now, j)
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
		c.noteVersion++
	case Failed:
		c.fail(now, j.Engine, j)
	}
}

// notSent ends a job whose order certainly did not arrive; a job whose state was only read is left unchanged.
func (c *controller) notSent(now time.Time, j *job) {
	if j.step != sending {
		return
	}
	t := targetOf(j.Outstanding)
	c.retries[t] = retry{attempt: c.retries[t].attempt, after: now.Add(c.config.Recheck)}
	c.drop(j.Engine)
}

func (c *controller) answerLost(j *job) {
	if j.step == sending {
		j.step = lost
		j.reason = AnswerLost
		j.answerMissing = true
	}
}

// orderUnknown resends an order that its engine does not know, once no copy can be in flight any more.
//
// The engine must have been asked after that time, or a copy may have arrived
// after the question. The order keeps its ID, so that it is carried out only
// once even if a copy arrives later than Flight; removeEnded drops it if it is no
// longer wanted.
func (c *controller) orderUnknown(now time.Time, j *job) {
	if j.step == sending || j.step == planned || j.asked.Sub(j.sent) < c.config.Flight {
		return
	}
	c.noteVersion++
	j.step = planned
	j.noteVersion = c.noteVersion
	j.contact = now
	j.Order.Fencing = c.held.Fencing
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.share, b.share),
		cmp.Compare(a.model, b.model),
		cmp.Compare(a.engine, b.engine),
	)
}
