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

// Giver gives orders to engines while it holds the lease.
type Giver interface {
	// Close stops giving orders, waits for the answers to those that were sent and gives the lease back.
	Close()
}

type giver struct {
	GiverConfig
	cancel   context.CancelFunc
	running  sync.WaitGroup
	outcomes chan orders.Outcome

	// The fields below are used by the loop only.
	term    lease.Term
	plan    orders.Plan
	noted   uint64
	renewed time.Time
	watch   watch
	asked   time.Time
}

// NewGiver returns a Giver that works until it is closed.
func NewGiver(c GiverConfig) (Giver, error) {
	if c.Holder == "" || c.Controller == nil || c.Log == nil || c.Engines == nil || c.Servers == nil || c.Settings == nil || c.Now == nil {
		return nil, fmt.Errorf("backend: the giver's configuration is not complete")
	}
	if c.Step <= 0 {
		c.Step = DefaultStep
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &giver{GiverConfig: c, cancel: cancel, outcomes: make(chan orders.Outcome)}
	g.running.Go(func() { g.loop(ctx) })
	return g, nil
}

// Close implements Giver.
func (g *giver) Close() {
	g.cancel()
	g.running.Wait()
}

func (g *giver) loop(ctx context.Context) {
	var sending sync.WaitGroup
	t := time.NewTicker(g.Step)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			g.stop(&sending)
			return
		case o := <-g.outcomes:
			g.take(o)
		case <-t.C:
			g.step(ctx, &sending)
		}
	}
}

// stop waits for the outcomes of what was sent, which are bounded by their timeout.
func (g *giver) stop(sending *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		sending.Wait()
		close(ended)
	}()
	for {
		select {
		case o := <-g.outcomes:
			g.take(o)
			continue
		case <-ended:
		}
		break
	}
	g.release()
}

func (g *giver) step(ctx context.Context, sending *sync.WaitGroup) {
	now := g.Now()
	if g.term.Fencing > 0 && !g.term.Valid(now) {
		g.lost("the lease ran out")
	}
	if g.term.Fencing == 0 && now.Sub(g.asked) >= g.duration()/askShare {
		g.asked = now
		g.acquire(ctx)
	}
	if g.term.Fencing == 0 {
		return
	}
	g.plan = g.Controller.Plan(g.Now(), orders.Input{Settings: g.Settings(), Servers: g.servers()})
	if g.plan.NoteVersion > g.noted || g.Now().Sub(g.renewed) > g.duration()/3 {
		g.renew(ctx)
	}
	for _, i := range g.plan.Send {
		g.logOrder(event.OrderGiven, i, "")
		g.send(sending, i, g.Engines.Order)
	}
	for _, i := range g.plan.Read {
		g.send(sending, i, func(ctx context.Context, address string, o orders.Order) (orders.Answer, error) {
			return g.Engines.ReadOrder(ctx, address, o.ID)
		})
	}
}

func (g *giver) servers() []*membership.Server {
	v := g.Servers.View()
	all := make([]*membership.Server, 0, v.Len())
	for s := range v.All() {
		all = append(all, s)
	}
	return all
}

// send carries out one instruction beside the loop.
//
// The lease is checked again right before the request is written: a process
// that was frozen since the plan must not act on a lease that has run out.
func (g *giver) send(sending *sync.WaitGroup, i orders.Instruction, do func(ctx context.Context, address string, o orders.Order) (orders.Answer, error)) {
	term := g.term
	sending.Go(func() {
		o := orders.Outcome{Engine: i.Engine, ID: i.Order.ID, Result: orders.NotSent}
		now := g.Now()
		if term.Valid(now) {
			ctx, cancel := context.WithTimeout(context.Background(), min(orderTimeout, term.Ends.Sub(now)))
			a, err := do(ctx, i.Address, i.Order)
			cancel()
			o.Result, o.State = result(err), a.State
		}
		g.outcomes <- o
	})
}

func result(err error) orders.Result {
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

func (g *giver) take(o orders.Outcome) {
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
		e.Write(g.Logger, log.Fields{"engine": o.Engine, "order": o.ID, "state": o.State})
	}
	g.Controller.Answered(g.Now(), o)
	if o.Result == orders.Fenced {
		g.lost("an engine has seen a higher fencing number")
	}
}

func (g *giver) logOrder(e event.Event, i orders.Instruction, state orders.Progress) {
	e.Write(g.Logger, log.Fields{
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
