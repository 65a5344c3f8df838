package backend

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/lease"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/fleet/orders"
)

// OrderIssuer sends orders to engines while this process holds the order lease.
type OrderIssuer interface {
	// Close stops issuing orders, waits for the answers to those already sent, and releases the lease.
	Close()
}

type orderIssuer struct {
	OrderIssuerConfig
	cancel   context.CancelFunc
	running  sync.WaitGroup
	outcomes chan orders.Outcome

	// The fields below are used only by the goroutine that executes run.
	held                 lease.HeldLease
	plan                 orders.Plan
	committedNoteVersion uint64
	renewedAt            time.Time
	observed             leaseObservation
	acquireTriedAt       time.Time
}

// NewOrderIssuer returns an OrderIssuer that runs until it is closed.
func NewOrderIssuer(c OrderIssuerConfig) (OrderIssuer, error) {
	if c.Holder == "" || c.Controller == nil || c.Log == nil || c.Engines == nil || c.Servers == nil || c.Settings == nil || c.Now == nil {
		return nil, fmt.Errorf("backend: the configuration of the order issuer is incomplete")
	}
	if c.Step <= 0 {
		c.Step = DefaultStep
	}
	ctx, cancel := context.WithCancel(context.Background())
	oi := &orderIssuer{OrderIssuerConfig: c, cancel: cancel, outcomes: make(chan orders.Outcome)}
	oi.running.Go(func() { oi.run(ctx) })
	return oi, nil
}

// Close implements OrderIssuer.
func (oi *orderIssuer) Close() {
	oi.cancel()
	oi.running.Wait()
}

func (oi *orderIssuer) run(ctx context.Context) {
	var inFlight sync.WaitGroup
	t := time.NewTicker(oi.Step)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			oi.shutdown(&inFlight)
			return
		case o := <-oi.outcomes:
			oi.applyOutcome(o)
		case <-t.C:
			oi.step(ctx, &inFlight)
		}
	}
}

// shutdown waits for the outcomes of the requests in flight, each bounded by its timeout, and releases the lease.
func (oi *orderIssuer) shutdown(inFlight *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		inFlight.Wait()
		close(done)
	}()
	for {
		select {
		case o := <-oi.outcomes:
			oi.applyOutcome(o)
			continue
		case <-done:
		}
		break
	}
	oi.releaseLease()
}

func (oi *orderIssuer) step(ctx context.Context, inFlight *sync.WaitGroup) {
	now := oi.Now()
	if oi.held.Fencing > 0 && !oi.held.Valid(now) {
		oi.endLease("the lease expired")
	}
	if oi.held.Fencing == 0 && now.Sub(oi.acquireTriedAt) >= oi.leaseDuration()/acquireTriesPerLease {
		oi.acquireTriedAt = now
		oi.acquireLease(ctx)
	}
	if oi.held.Fencing == 0 {
		return
	}
	oi.plan = oi.Controller.Plan(oi.Now(), orders.Input{Settings: oi.Settings(), Servers: oi.servers()})
	if oi.plan.NoteVersion > oi.committedNoteVersion || oi.Now().Sub(oi.renewedAt) > oi.leaseDuration()/3 {
		oi.renewLease(ctx)
	}
	for _, i := range oi.plan.Send {
		oi.logOrder(event.OrderGiven, i, "")
		oi.send(inFlight, i, oi.Engines.Order)
	}
	for _, i := range oi.plan.Read {
		oi.send(inFlight, i, func(ctx context.Context, address string, o orders.Order) (orders.Answer, error) {
			return oi.Engines.ReadOrder(ctx, address, o.ID)
		})
	}
}

func (oi *orderIssuer) servers() []*membership.Server {
	v := oi.Servers.View()
	all := make([]*membership.Server, 0, v.Len())
	for s := range v.All() {
		all = append(all, s)
	}
	return all
}

// send carries out one instruction in its own goroutine.
//
// The lease is checked again right before the request is written: a process
// that was suspended since the plan was made must not act on an expired lease.
func (oi *orderIssuer) send(inFlight *sync.WaitGroup, i orders.Instruction, do func(ctx context.Context, address string, o orders.Order) (orders.Answer, error)) {
	held := oi.held
	inFlight.Go(func() {
		o := orders.Outcome{Engine: i.Engine, ID: i.Order.ID, Result: orders.NotSent}
		now := oi.Now()
		if held.Valid(now) {
			ctx, cancel := context.WithTimeout(context.Background(), min(orderTimeout, held.ValidUntil.Sub(now)))
			a, err := do(ctx, i.Address, i.Order)
			cancel()
			o.Result, o.State = resultOf(err), a.State
		}
		oi.outcomes <- o
	})
}

func resultOf(err error) orders.Result {
	switch {
	case err == nil:
		return orders.Answered
	case errors.Is(err, ErrOldFencing):
		return orders.Fenced
	case errors.Is(err, ErrUnknownOrder):
		return orders.Unknown
	case verdict.Of(err) == verdict.NotRun:
		return orders.NotSent
	}
	return orders.Lost
}

func (oi *orderIssuer) applyOutcome(o orders.Outcome) {
	e := event.OrderEnded
	switch {
	case o.Result == orders.Fenced:
		e = event.OrderFenced
	case o.Result == orders.Lost:
		e = event.OrderUnknown
	case o.Result != orders.Answered || o.State == orders.Running:
		e = event.Event{}
	}
	if e.Number > 0 {
		e.Write(oi.Logger, log.Fields{"engine": o.Engine, "order": o.ID, "state": o.State})
	}
	oi.Controller.RecordOutcome(oi.Now(), o)
	if o.Result == orders.Fenced {
		oi.endLease("an engine has seen a higher fencing number")
	}
}

func (oi *orderIssuer) logOrder(e event.Event, i orders.Instruction, state orders.Progress) {
	e.Write(oi.Logger, log.Fields{
		"engine":         i.Engine,
		"order":          i.Order.ID,
		"fencing":        i.Order.Fencing,
		"kind":           i.Order.Kind,
		"model":          i.Order.Model,
		"weight-version": i.Order.WeightVersion,
		"reason":         i.Reason,
		"state":          state,
	})
}
