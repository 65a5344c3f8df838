package siteentry

import (
	"slices"
	"time"

	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

// maxLeases is the number of leases of one replica whose state is kept: the latest, and the one before, which is used until
// the latest is complete.
const maxLeases = 2

// replicaState is what one replica reports about stores and orders.
type replicaState struct {
	epoch uint64
	// storeEpochs is the incarnation of each store as the replica sees it, lastAnswer when the replica last
	// answered at all.
	storeEpochs map[string]int64
	lastAnswer  time.Time
	// zone is the replica's availability zone.
	zone string
	// position is how far the relay's mirror of the replica's rows has been received, if the state comes from a
	// relay.
	position watch.Position
	// leases are the states under the latest leases that the replica has held, the latest first.
	leases []*holderState
}

func newReplicaState(epoch uint64) *replicaState {
	return &replicaState{epoch: epoch, storeEpochs: map[string]int64{}}
}

// lease returns the state under the lease with the fencing number, nil if later ones have replaced it.
func (r *replicaState) lease(fencing uint64) *holderState {
	at, found := slices.BinarySearchFunc(r.leases, fencing, func(h *holderState, fencing uint64) int {
		switch {
		case h.fencing > fencing:
			return -1
		case h.fencing < fencing:
			return 1
		}
		return 0
	})
	if found {
		return r.leases[at]
	}
	if at == maxLeases {
		return nil
	}
	h := newHolderState(fencing)
	r.leases = slices.Insert(r.leases, at, h)
	r.leases = r.leases[:min(len(r.leases), maxLeases)]
	return h
}

// reports returns whether the state is that of a lease which the replica has held.
func (r *replicaState) reports(h *holderState) bool {
	return h != nil && slices.Contains(r.leases, h)
}

// apply applies a row on stores and orders.
func (r *replicaState) apply(x rowtable.Row) error {
	switch x.Topic {
	case topic.Parts:
		return applyLeased(r, x, func(h *holderState, tokens int) error { return h.applyPart(x.Key, tokens) })
	case topic.StoreSummaries:
		return applyLeased(r, x, (*holderState).applyStoreSummary)
	case topic.StoreStates:
		return applyLeased(r, x, func(h *holderState, s topic.StoreState) error {
			h.stores[x.Key] = s
			return nil
		})
	case topic.Busy:
		return applyLeased(r, x, func(h *holderState, busy bool) error {
			h.busyServers[x.Key] = busy
			return nil
		})
	case topic.StoreEpochs:
		return decodeRow(x, func(epoch int64) { r.storeEpochs[x.Key] = epoch })
	}
	return nil
}

// applyLeased applies a row to the state under its lease.
func applyLeased[T any](r *replicaState, x rowtable.Row, apply func(h *holderState, value T) error) error {
	var failed error
	err := decodeRow(x, func(l topic.Leased[T]) {
		if h := r.lease(l.Fencing); h != nil {
			failed = apply(h, l.Value)
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// age adds the time for which this process was suspended to the age of the replica's answers.
func (r *replicaState) age(suspended time.Duration) {
	r.lastAnswer = r.lastAnswer.Add(-suspended)
	for _, h := range r.leases {
		h.lastContact = h.lastContact.Add(-suspended)
	}
}
