package backend

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/lease"
	"hornbeamwood/internal/fleet/orders"
)

// watch is what this process saw of another holder's lease, by its own clock.
type watch struct {
	fencing uint64
	expires int64
	since   time.Time
}

// stale returns whether the lease has not been renewed for as long as it lasts.
//
// Those who wait only read: were each of them to propose, every process of
// the fleet would write to the log all the time.
func (w *watch) stale(now time.Time, l lease.Lease) bool {
	if l.Fencing != w.fencing || l.Expires != w.expires {
		*w = watch{fencing: l.Fencing, expires: l.Expires, since: now}
	}
	return l.Released || now.Sub(w.since) > l.Duration
}

func (g *giver) duration() time.Duration {
	if s := g.Settings(); s != nil && s.Fleet.OrderLease > 0 {
		return s.Fleet.OrderLease
	}
	return DefaultOrderLease
}

// acquire takes the lease when nobody renews it.
func (g *giver) acquire(ctx context.Context) {
	q, err := codec.Marshal(lease.Query{Name: orderLease})
	if err != nil {
		return
	}
	b, err := g.Log.Read(ctx, lease.Name, q)
	if err != nil {
		return
	}
	a, err := codec.Unmarshal[lease.Answer](b)
	if err != nil || (a.Known && !g.watch.stale(g.Now(), a.Lease)) {
		return
	}
	d, sent := g.duration(), g.Now()
	r, ok := g.propose(ctx, lease.Command{Acquire: &lease.Acquire{Name: orderLease, Holder: g.Holder, Duration: d}})
	if !ok || !r.Granted {
		return
	}
	inherited, err := orders.DecodeNote(r.Note)
	if err != nil {
		return
	}
	received := g.Now()
	g.term = lease.NewTerm(r, sent, received, d)
	g.noted, g.renewed = 0, sent
	g.Controller.Begin(received, g.term, inherited)
	event.OrderLease.Write(g.Logger, log.Fields{"held": true, "fencing": r.Fencing, "wait": r.Wait, "inherited": len(inherited)})
}

// renew makes the lease last longer and commits the note.
func (g *giver) renew(ctx context.Context) {
	note, err := orders.EncodeNote(g.plan.Note)
	if err != nil {
		return
	}
	d, sent := g.duration(), g.Now()
	r, ok := g.propose(ctx, lease.Command{Renew: &lease.Renew{
		Name:        orderLease,
		Holder:      g.Holder,
		Fencing:     g.term.Fencing,
		Duration:    d,
		Note:        note,
		NoteVersion: g.plan.NoteVersion,
	}})
	if !ok {
		return
	}
	if !r.Granted {
		g.lost("the control log refused: " + string(r.Reason))
		return
	}
	g.term = g.term.Renewed(sent, d)
	g.noted, g.renewed = g.plan.NoteVersion, sent
	g.Controller.Renewed(g.term, g.noted)
}

func (g *giver) lost(cause string) {
	event.OrderLease.Write(g.Logger, log.Fields{"held": false, "fencing": g.term.Fencing, "cause": cause})
	g.term = lease.Term{}
	g.plan = orders.Plan{}
	g.Controller.End()
}

// release gives the lease back; the note names every order that may be under way, and the next holder reads those back.
func (g *giver) release() {
	if g.term.Fencing == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	g.propose(ctx, lease.Command{Release: &lease.Release{Name: orderLease, Holder: g.Holder, Fencing: g.term.Fencing}})
	g.lost("given back")
}

func (g *giver) propose(ctx context.Context, c lease.Command) (lease.Result, bool) {
	body, err := codec.Marshal(c)
	if err != nil {
		return lease.Result{}, false
	}
	b, err := g.Log.Propose(ctx, lease.Name, body)
	if err != nil {
		return lease.Result{}, false
	}
	r, err := codec.Unmarshal[lease.Result](b)
	return r, err == nil
}
