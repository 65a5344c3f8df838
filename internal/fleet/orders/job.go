package orders

import (
	"time"

	"hornbeamwood/internal/fleet/membership"
)

// step is the progress of an order as known to the controller.
type step uint8

const (
	// planned means that the order waits until the lease's note includes it.
	planned step = iota
	// sending means that the order was handed to the caller of Plan for sending and its outcome is outstanding.
	sending
	// lost means that the order's state must be read from the engine.
	lost
	// running means that the engine is carrying out the order.
	running
	// done means that the order waits for the engine's announcement to confirm it.
	done
)

// job tracks one order from its planning to its end.
type job struct {
	Outstanding
	step        step
	reason      Reason
	noteVersion uint64
	// contact is when the engine last answered about the order, or when it was sent.
	contact time.Time
	// sent is when the order was last sent.
	sent time.Time
	// answerMissing is true if the answer to the sent order was lost, so that a copy may be in flight.
	answerMissing bool
	// asked is when the order's state was last requested.
	asked time.Time
	// readPending is true until that request has its outcome.
	readPending bool
}

// loading reports whether the engine may be loading weights for the order now or soon.
func (j *job) loading(now time.Time, flight time.Duration) bool {
	return j.Order.Kind == LoadWeights && (j.step != done || j.inFlight(now, flight))
}

// inFlight reports whether a copy of the order may still be in flight.
func (j *job) inFlight(now time.Time, flight time.Duration) bool {
	return j.answerMissing && now.Sub(j.sent) < flight
}

// confirmedBy reports whether the server's announcement confirms that the order was carried out.
func (j *job) confirmedBy(s *membership.Server) bool {
	a := s.Announcement()
	if a.LastOrder == j.Order.ID {
		return true
	}
	_, wanted := versions(a, j.Order.Model, j.Order.WeightVersion)
	return j.Order.Kind == LoadWeights && wanted
}
