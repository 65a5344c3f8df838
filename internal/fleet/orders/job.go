package orders

import (
	"time"

	"hornbeamwood/internal/fleet/membership"
)

// step is how far an order is, as the controller knows.
type step uint8

const (
	// planned waits until the lease's note names it.
	planned step = iota
	// sending was handed to the adapter, whose outcome is awaited.
	sending
	// lost needs reading back.
	lost
	// running is worked on by the engine.
	running
	// done waits until the engine's announcement shows it.
	done
)

// job is one order from its plan to its end.
type job struct {
	Outstanding
	step   step
	reason Reason
	note   uint64
	// contact is when the engine was last heard of the order, or it was sent.
	contact time.Time
	// sent is when the order was sent last.
	sent time.Time
	// loose says that the answer to the sent order was lost, so that a copy may be on its way.
	loose bool
	// asked is when the order was read back last.
	asked time.Time
	// reading is true until that question has its outcome.
	reading bool
}

// loading returns whether the order may be loading weights now or soon.
func (j *job) loading(now time.Time, flight time.Duration) bool {
	return j.Order.Kind == LoadWeights && (j.step != done || j.flying(now, flight))
}

// flying returns whether a copy of the order may still be on its way.
func (j *job) flying(now time.Time, flight time.Duration) bool {
	return j.loose && now.Sub(j.sent) < flight
}

// shown returns whether an announcement made after the order was given shows it.
func (j *job) shown(s *membership.Server) bool {
	a := s.Announcement()
	if a.LastOrder == j.Order.ID {
		return true
	}
	_, wanted := versions(a, j.Order.Model, j.Order.WeightVersion)
	return j.Order.Kind == LoadWeights && wanted
}
