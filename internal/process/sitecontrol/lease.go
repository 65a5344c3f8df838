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
	// orderMargin is the time before the lease's end in which no order is sent, and the time for which an order may be carried
	// out after it was permitted, so that none is carried out after the lease.
	orderMargin = 700 * time.Millisecond
	// pendingInterval is the time between two checks for orders without a response before the lease is released.
	pendingInterval = 5 * time.Millisecond
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
	// startedAt is when this process started.
	startedAt time.Duration
	// orders are the orders without a response.
	orders orderLog
	// earlier is the lease of another holder as it was seen last, and earlierSeenAt when its last renewal was seen.
	earlier       controllease.Lease
	earlierSeenAt time.Duration
	// showFrom is when all orders of the earlier holder have been carried out or have expired.
	showFrom time.Duration
}

// mayOrder returns the fencing number, and whether orders may be given now.
//
// Time passes between this look at the lease and the order. An order that can be carried out late needs a permit.
func (h *leaseHolder) mayOrder() (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fencing, h.mayOrderAt(boottime.Now())
}

// mayOrderAt returns whether orders may be given; the caller holds h.mu.
func (h *leaseHolder) mayOrderAt(now time.Duration) bool {
	return h.fencing != 0 && h.fencing > h.refusedFencing && now >= h.ordersFrom && now < h.until-orderMargin
}

// permit returns the permit of one order that is valid until the lease ends, for the given time at most, and false
// while no order may be given. The caller reports how the order ended with end.
func (h *leaseHolder) permit(most time.Duration) (orderPermit, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	if !h.mayOrderAt(now) {
		return orderPermit{}, false
	}
	return h.orders.begin(h.fencing, now, min(now+most, h.until)), true
}

// end records whether the order of a permit got a response. One without a response may be carried out until its
// permit expires.
func (h *leaseHolder) end(p orderPermit, responded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if responded {
		h.orders.end(p)
	}
}

// showable returns the fencing number, and whether rows of stores may be shown: the lease is held, and no order of the
// earlier holder can be carried out any more. A part that is shown may be fetched, and must not be freed by an order that
// arrives late.
func (h *leaseHolder) showable() (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	return h.fencing, h.fencing != 0 && now < h.until && now >= h.showFrom
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
		h.observeEarlier()
		if !h.mayRequest() {
			continue
		}
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

// observeEarlier records when another holder's lease was last renewed, by this VM's clock.
//
// By the log's clock a lease ends too early when the clock of a new leader is ahead of its predecessor's.
func (h *leaseHolder) observeEarlier() {
	if h.isLeader() {
		return
	}
	l, ok := h.current()
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.Fencing != h.earlier.Fencing || l.Expires != h.earlier.Expires {
		h.earlier, h.earlierSeenAt = l, boottime.Now()
	}
}

// mayRequest returns false while orders of this replica's earlier process may still be carried out.
func (h *leaseHolder) mayRequest() bool {
	if boottime.Now() >= h.startedAt+orderMargin {
		return true
	}
	l, ok := h.current()
	return ok && (l.Released || !h.ownName(l.Holder))
}

// ownName returns whether the name of a holder is one of this replica's.
func (h *leaseHolder) ownName(holder string) bool {
	return strings.HasPrefix(holder, h.name+nameSeparator)
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
	if l.Released || !h.ownName(l.Holder) {
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
// wait until it expires. The next holder shows the parts of stores at once, so the release waits for orders that
// may still be carried out.
func (h *leaseHolder) release(ctx context.Context) {
	h.mu.Lock()
	fencing := h.fencing
	h.fencing, h.released = 0, true
	h.mu.Unlock()
	if fencing == 0 {
		return
	}
	for h.ordersPending() && wait.For(ctx, pendingInterval) {
		continue
	}
	h.proposeRelease(ctx, h.holderName(), fencing)
}

// ordersPending returns whether an order without a response may still be carried out.
func (h *leaseHolder) ordersPending() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.orders.pending(boottime.Now())
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
		// The lease expired, as with a slow disk, and no other replica has held it since. Entries may use the rows of
		// the expired one until those of this one are complete.
		h.fencing = r.Fencing
		h.grantedAt = boottime.Now()
		h.logChange("granted again", h.fencing)
	}
	if r.Fencing != h.fencing {
		h.fencing = r.Fencing
		h.ordersFrom = boottime.Now()
		h.grantedAt = h.ordersFrom
		h.showFrom = 0
		if r.Fencing > 1 {
			h.ordersFrom += max(r.Wait, h.orderDelay)
		}
		if r.Wait > 0 && h.earlierSeenAt > 0 && !h.ownName(h.earlier.Holder) {
			h.showFrom = h.earlierSeenAt + leaseDuration
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
