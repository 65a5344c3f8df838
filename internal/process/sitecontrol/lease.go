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
	// leaseDuration is how long the lease lasts without renewal. Until it expires no
	// other replica can show entries the contents of stores and the load of all entries
	// at engines, and engines prefill stored parts again.
	leaseDuration = 1500 * time.Millisecond
	// renewInterval is the time between two renewals. With orderMargin, a renewal may be
	// late by as much again before orders stop.
	renewInterval = 400 * time.Millisecond
	// leaderCheckInterval is the time between two checks of whether this replica leads the log and may request the lease.
	leaderCheckInterval = 40 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = time.Second
	// orderMargin is the time before the lease's end in which no order is sent, so that orders arrive within the lease.
	orderMargin = 700 * time.Millisecond
	// nameSeparator follows the replica's name in the name of a lease holder.
	nameSeparator = "/"
	// defaultOrderDelay is used where the site doesn't set the time between orders of two lease holders.
	defaultOrderDelay = 3 * time.Second
)

// leaseHolder holds the lease for orders while this replica leads the log.
type leaseHolder struct {
	name string
	// orderDelay is how long after its grant a new holder gives its first order.
	orderDelay time.Duration
	propose    func(ctx context.Context, section string, body []byte) ([]byte, error)
	isLeader   func() bool
	// current returns the lease as this replica's log has it, and false while the log hasn't caught up.
	current func() (controllease.Lease, bool)
	logger  log.Interface

	mu sync.Mutex
	// fencing is zero while the lease isn't held. By the boot clock, the lease ends at
	// until, and orders may be given from ordersFrom on.
	fencing    uint64
	until      time.Duration
	ordersFrom time.Duration
	// grantedAt is when this process got the lease.
	grantedAt time.Duration
	// refusedFencing is the highest fencing number under which this replica may no longer
	// order: a server has refused it, or it dates from before a restart.
	refusedFencing uint64
	// released is set if the process is stopping and no longer requests the lease.
	released bool
}

// mayOrder returns the fencing number, and whether orders may be given now.
func (h *leaseHolder) mayOrder() (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	return h.fencing, h.fencing != 0 && h.fencing > h.refusedFencing && now >= h.ordersFrom && now < h.until-orderMargin
}

// fencingNumber returns the fencing number until the lease ends, also before the first order may be given, and then zero.
func (h *leaseHolder) fencingNumber() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if boottime.Now() >= h.until {
		return 0
	}
	return h.fencing
}

// heldFor returns whether this process has held the lease for the given time, so that
// no one uses the rows of an earlier holder. The first holder of a site has no
// predecessor and need not wait.
func (h *leaseHolder) heldFor(after time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fencing == 1 || boottime.Now()-h.grantedAt >= after
}

// markRefused records that a server has seen a higher fencing number than the given one.
//
// The holder of the higher number was granted the lease after this process. This process
// must give no more orders, whatever its clock shows.
func (h *leaseHolder) markRefused(fencing uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusedFencing = max(h.refusedFencing, fencing)
	h.logChange("a server has seen a higher fencing number", h.fencing)
}

// run renews the lease until ctx ends.
//
// A new leader requests the lease at once, because entries get no rows of the stores
// until it holds the lease.
func (h *leaseHolder) run(ctx context.Context) {
	requestedAt, earlierReleased := time.Time{}, false
	for wait.For(ctx, leaderCheckInterval) {
		earlierReleased = earlierReleased || h.isLeader() || h.releaseEarlier(ctx)
		switch {
		case !h.isLeader():
			requestedAt = time.Time{}
		case time.Since(requestedAt) >= renewInterval && !h.stopping():
			requestedAt = time.Now()
			h.renew(ctx)
		}
	}
}

// releaseEarlier releases the lease that this replica held before its process was
// restarted, and returns true once there is nothing left to release.
//
// The present leader would otherwise wait until the lease expires, and entries would
// get no rows of the stores until then. Before the release is proposed, this process
// takes another holder name, so that the lease is never granted to the old name again.
func (h *leaseHolder) releaseEarlier(ctx context.Context) bool {
	l, ok := h.current()
	if !ok {
		return false
	}
	if l.Released || !strings.HasPrefix(l.Holder, h.name+nameSeparator) {
		return true
	}
	h.mu.Lock()
	h.refusedFencing = max(h.refusedFencing, l.Fencing)
	h.mu.Unlock()
	h.proposeRelease(ctx, l.Holder, l.Fencing)
	return true
}

func (h *leaseHolder) stopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.released
}

// release releases the lease before a planned stop, so that the next leader need not
// wait until it expires.
func (h *leaseHolder) release(ctx context.Context) {
	h.mu.Lock()
	fencing := h.fencing
	h.fencing, h.released = 0, true
	h.mu.Unlock()
	if fencing == 0 {
		return
	}
	h.proposeRelease(ctx, h.holderName(), fencing)
}

func (h *leaseHolder) proposeRelease(ctx context.Context, name string, fencing uint64) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	body, err := codec.Marshal(controllease.Command{Release: &controllease.Release{Name: ordersLease, Holder: name, Fencing: fencing}})
	if err == nil {
		_, err = h.propose(ctx, controllease.Name, body)
	}
	if err != nil {
		h.logError(err)
		return
	}
	h.logChange("released", fencing)
}

// renew acquires the lease, or extends it when this process holds it.
func (h *leaseHolder) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	requestedAt := boottime.Now()
	body, err := codec.Marshal(controllease.Command{Acquire: &controllease.Acquire{Name: ordersLease, Holder: h.holderName(), Duration: leaseDuration}})
	if err != nil {
		h.logError(err)
		return
	}
	b, err := h.propose(ctx, controllease.Name, body)
	if err != nil {
		// The lease expires by itself if renewals keep failing.
		return
	}
	r, err := codec.Unmarshal[controllease.Result](b)
	if err != nil {
		h.logError(err)
		return
	}
	h.applyResult(r, requestedAt)
}

// holderName returns the name under which this process requests the lease. It is the
// same after a restart, so that the process need not wait for its own lease to expire.
// After a refusal it differs: a superseded lease is requested again under another
// fencing number.
func (h *leaseHolder) holderName() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%s%s%d", h.name, nameSeparator, h.refusedFencing)
}

// applyResult applies the result of a request for the lease. The lease's duration
// counts from when it was requested.
//
// The first order waits for the site's time between orders of two holders. The previous
// holder may have ordered right before its lease expired, and servers that don't check
// fencing numbers would get orders from two holders by turns.
func (h *leaseHolder) applyResult(r controllease.Result, requestedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !r.Granted || h.released {
		if h.fencing != 0 {
			h.fencing = 0
			h.logChange("another replica holds it", h.fencing)
		}
		return
	}
	if h.fencing != 0 && r.Fencing == h.fencing+1 && h.refusedFencing < h.fencing {
		// The lease expired, as with a slow disk, and no other replica has held it since.
		h.fencing = r.Fencing
		h.logChange("granted again", h.fencing)
	}
	if r.Fencing != h.fencing {
		h.fencing = r.Fencing
		h.ordersFrom = boottime.Now()
		h.grantedAt = h.ordersFrom
		if r.Fencing > 1 {
			h.ordersFrom += max(r.Wait, h.orderDelay)
		}
		h.logChange("granted", h.fencing)
	}
	h.until = requestedAt + leaseDuration
}

// logChange logs a change of the state of the lease with the given fencing number.
func (h *leaseHolder) logChange(why string, fencing uint64) {
	event.LeaseHeld.Write(h.logger, log.Fields{"fencing": fencing, "reason": why})
}

// logError logs a failed request for the lease.
func (h *leaseHolder) logError(err error) {
	event.LeaseHeld.Write(h.logger, log.Fields{"error": err.Error()})
}

// isLeader returns whether this replica leads the log.
func (p *process) isLeader() bool {
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
