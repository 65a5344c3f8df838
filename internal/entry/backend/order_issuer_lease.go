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

// leaseObservation is the last observed state of another holder's lease and when it
// was first observed, by the local clock.
type leaseObservation struct {
	fencing uint64
	expires int64
	since   time.Time
}

// stale returns whether the lease was released or has not been renewed for its whole duration.
//
// Waiting processes only read. If each of them proposed, every process of the
// fleet would write to the log continuously.
func (o *leaseObservation) stale(now time.Time, l lease.Lease) bool {
	if l.Fencing != o.fencing || l.Expires != o.expires {
		*o = leaseObservation{fencing: l.Fencing, expires: l.Expires, since: now}
	}
	return l.Released || now.Sub(o.since) > l.Duration
}

func (oi *orderIssuer) leaseDuration() time.Duration {
	if s := oi.Settings(); s != nil && s.Fleet.OrderLease > 0 {
		return s.Fleet.OrderLease
	}
	return DefaultOrderLease
}

// acquireLease acquires the lease when no holder renews it.
func (oi *orderIssuer) acquireLease(ctx context.Context) {
	q, err := codec.Marshal(lease.Query{Name: orderLeaseName})
	if err != nil {
		return
	}
	b, err := oi.Log.Read(ctx, lease.Name, q)
	if err != nil {
		return
	}
	a, err := codec.Unmarshal[lease.Answer](b)
	if err != nil || (a.Known && !oi.observed.stale(oi.Now(), a.Lease)) {
		return
	}
	d, sent := oi.leaseDuration(), oi.Now()
	r, ok := oi.propose(ctx, lease.Command{Acquire: &lease.Acquire{Name: orderLeaseName, Holder: oi.Holder, Duration: d}})
	if !ok || !r.Granted {
		return
	}
	inherited, err := orders.DecodeNote(r.Note)
	if err != nil {
		return
	}
	received := oi.Now()
	oi.held = lease.NewHeldLease(r, sent, received, d)
	oi.committedNoteVersion, oi.renewedAt = 0, sent
	oi.Controller.Begin(received, oi.held, inherited)
	event.OrderLease.Write(oi.Logger, log.Fields{"held": true, "fencing": r.Fencing, "wait": r.Wait, "inherited": len(inherited)})
}

// renewLease extends the lease and commits the note.
func (oi *orderIssuer) renewLease(ctx context.Context) {
	note, err := orders.EncodeNote(oi.plan.Note)
	if err != nil {
		return
	}
	d, sent := oi.leaseDuration(), oi.Now()
	r, ok := oi.propose(ctx, lease.Command{Renew: &lease.Renew{
		Name:        orderLeaseName,
		Holder:      oi.Holder,
		Fencing:     oi.held.Fencing,
		Duration:    d,
		Note:        note,
		NoteVersion: oi.plan.NoteVersion,
	}})
	if !ok {
		return
	}
	if !r.Granted {
		oi.endLease("the control log refused: " + string(r.Reason))
		return
	}
	oi.held = oi.held.Renewed(sent, d)
	oi.committedNoteVersion, oi.renewedAt = oi.plan.NoteVersion, sent
	oi.Controller.Renewed(oi.held, oi.committedNoteVersion)
}

// endLease discards the lease and the plan of this process. In the control log the lease stays until
// it is released or expires.
func (oi *orderIssuer) endLease(cause string) {
	event.OrderLease.Write(oi.Logger, log.Fields{"held": false, "fencing": oi.held.Fencing, "cause": cause})
	oi.held = lease.HeldLease{}
	oi.plan = orders.Plan{}
	oi.Controller.End()
}

// releaseLease releases the lease. The committed note lists every order that may be in flight;
// the next holder reads their states from the engines.
func (oi *orderIssuer) releaseLease() {
	if oi.held.Fencing == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	oi.propose(ctx, lease.Command{Release: &lease.Release{Name: orderLeaseName, Holder: oi.Holder, Fencing: oi.held.Fencing}})
	oi.endLease("released")
}

func (oi *orderIssuer) propose(ctx context.Context, c lease.Command) (lease.Result, bool) {
	body, err := codec.Marshal(c)
	if err != nil {
		return lease.Result{}, false
	}
	b, err := oi.Log.Propose(ctx, lease.Name, body)
	if err != nil {
		return lease.Result{}, false
	}
	r, err := codec.Unmarshal[lease.Result](b)
	return r, err == nil
}
