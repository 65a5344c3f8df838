package sitecontrol

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	controllease "hornbeamwood/internal/control/lease"
	"hornbeamwood/internal/control/raft"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/node/boottime"
)

const (
	// ordersLease names the lease for orders to servers and stores.
	ordersLease = "orders"
	// leaseDuration is how long the lease lasts at most. Until it has run out no
	// other replica tells entries what lies in stores and what all of them have at
	// engines, and engines read again what lies there.
	leaseDuration = 1500 * time.Millisecond
	// renewInterval is the time between two renewals: with orderMargin one may be
	// late by as much again until orders stop.
	renewInterval = 400 * time.Millisecond
	// leadInterval is the time between two looks whether this replica leads and could ask for the lease.
	leadInterval = 40 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = time.Second
	// orderMargin is kept off the end of the lease for the way of an order to its server.
	orderMargin = 700 * time.Millisecond
	// nameSeparator stands behind the replica's name in that of a holder.
	nameSeparator = "/"
	// defaultTurn is used where the site doesn't say how long apart two givers of orders must be.
	defaultTurn = 3 * time.Second
)

// holder holds the lease for orders while this replica leads the log.
type holder struct {
	name string
	// turn is how long after its grant a holder gives its first order.
	turn    time.Duration
	propose func(ctx context.Context, section string, body []byte) ([]byte, error)
	leads   func() bool
	// current returns the lease as this replica's log has it, and false while the log isn't up to date.
	current func() (controllease.Lease, bool)
	logger  log.Interface

	mu sync.Mutex
	// fencing is zero while the lease isn't held; until is its end by the boot
	// clock, from its first order may be given.
	fencing uint64
	until   time.Duration
	from    time.Duration
	// granted is when this process got the lease.
	granted time.Duration
	// refused is the highest number that a server has refused.
	refused uint64
	// released says that the process stops and asks for the lease no more.
	released bool
}

// held returns the fencing number while orders may be given.
func (h *holder) held() (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	return h.fencing, h.fencing != 0 && h.fencing > h.refused && now >= h.from && now < h.until-orderMargin
}

// number returns the fencing number as long as the lease lasts, also before the first order may be given.
func (h *holder) number() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if boottime.Now() >= h.until {
		return 0
	}
	return h.fencing
}

// settled returns whether this process has held the lease for so long that
// nobody goes by what an earlier holder said.
func (h *holder) settled(after time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fencing == 1 || boottime.Now()-h.granted >= after
}

// lost notes that a server has seen a higher number.
//
// Whoever has it was granted the lease after this process: whatever its clock
// says, this one must not order any more.
func (h *holder) lost(fencing uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused = max(h.refused, fencing)
	h.tell("a server has seen a higher number")
}

// run renews until ctx ends.
//
// A replica that has just come to lead asks at once: until it holds the lease,
// entries learn nothing of the stores.
func (h *holder) run(ctx context.Context) {
	asked, returned := time.Time{}, false
	for wait.For(ctx, leadInterval) {
		returned = returned || h.leads() || h.giveBack(ctx)
		switch {
		case !h.leads():
			asked = time.Time{}
		case time.Since(asked) >= renewInterval && !h.stopping():
			asked = time.Now()
			h.renew(ctx)
		}
	}
}

// giveBack gives back the lease that this replica held before its process was
// restarted, and returns true once there is nothing to give back.
//
// The one that leads now would otherwise wait until it has run out, and entries
// learn nothing of the stores until then. From before the proposal on this process
// counts as another holder, so that the lease never returns to it by the old name.
func (h *holder) giveBack(ctx context.Context) bool {
	l, ok := h.current()
	if !ok {
		return false
	}
	if l.Released || !strings.HasPrefix(l.Holder, h.name+nameSeparator) {
		return true
	}
	h.mu.Lock()
	h.refused = max(h.refused, l.Fencing)
	h.mu.Unlock()
	h.proposeRelease(ctx, l.Holder, l.Fencing)
	return true
}

func (h *holder) stopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.released
}

// release gives the lease back before a planned stop, so that the next leader
// need not wait until it has run out.
func (h *holder) release(ctx context.Context) {
	h.mu.Lock()
	fencing := h.fencing
	h.fencing, h.released = 0, true
	h.mu.Unlock()
	if fencing == 0 {
		return
	}
	h.proposeRelease(ctx, h.holderName(), fencing)
}

func (h *holder) proposeRelease(ctx context.Context, name string, fencing uint64) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	body, err := codec.Marshal(controllease.Command{Release: &controllease.Release{Name: ordersLease, Holder: name, Fencing: fencing}})
	if err == nil {
		_, err = h.propose(ctx, controllease.Name, body)
	}
	if err != nil {
		h.fail(err)
		return
	}
	h.tell("released")
}

// renew acquires the lease, or makes it last longer when this process holds it.
func (h *holder) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	asked := boottime.Now()
	body, err := codec.Marshal(controllease.Command{Acquire: &controllease.Acquire{Name: ordersLease, Holder: h.holderName(), Duration: leaseDuration}})
	if err != nil {
		h.fail(err)
		return
	}
	b, err := h.propose(ctx, controllease.Name, body)
	if err != nil {
		// The lease runs out by itself if this goes on.
		return
	}
	r, err := codec.Unmarshal[controllease.Result](b)
	if err != nil {
		h.fail(err)
		return
	}
	h.take(r, asked)
}

// holderName is the same after a restart of the process, so that it need not wait
// for its own lease to run out. After a refusal it differs: a lease that was
// superseded is asked for anew, under another number.
func (h *holder) holderName() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%s%s%d", h.name, nameSeparator, h.refused)
}

// take counts the lease from when it was asked for.
//
// The first order waits for the site's time between two givers: whoever held the
// lease before may have ordered right before it ran out, and servers that don't
// check numbers would see two givers by turns.
func (h *holder) take(r controllease.Result, asked time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !r.Granted || h.released {
		if h.fencing != 0 {
			h.fencing = 0
			h.tell("another replica holds it")
		}
		return
	}
	if h.fencing != 0 && r.Fencing == h.fencing+1 && h.refused < h.fencing {
		// It ran out, as behind a slow disk, and nobody else had it since.
		h.fencing = r.Fencing
		h.tell("granted again")
	}
	if r.Fencing != h.fencing {
		h.fencing = r.Fencing
		h.from = boottime.Now()
		h.granted = h.from
		if r.Fencing > 1 {
			h.from += max(r.Wait, h.turn)
		}
		h.tell("granted")
	}
	h.until = asked + leaseDuration
}

func (h *holder) tell(why string) {
	event.LeaseHeld.Write(h.logger, log.Fields{"fencing": h.fencing, "reason": why})
}

func (h *holder) fail(err error) {
	event.LeaseHeld.Write(h.logger, log.Fields{"error": err.Error()})
}

// leads returns whether this replica leads the log.
func (p *process) leads() bool {
	return p.replica.Status().Role == raft.Leader.String()
}

// currentLease returns the lease for orders as this replica's log has it.
func (p *process) currentLease(m state.Machine) (controllease.Lease, bool) {
	if !p.replica.Status().CaughtUp {
		return controllease.Lease{}, false
	}
	q, err := codec.Marshal(controllease.Query{Name: ordersLease})
	if err != nil {
		return controllease.Lease{}, false
	}
	b, err := m.Query(state.Query{Section: controllease.Name, Body: q})
	if err != nil {
		return controllease.Lease{}, false
	}
	a, err := codec.Unmarshal[controllease.Answer](b)
	return a.Lease, err == nil
}
