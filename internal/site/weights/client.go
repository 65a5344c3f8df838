package weights

import (
	"context"

	"hornbeamwood/internal/site/directory"
)

// Report is an engine's status; it may be a few hundred milliseconds old.
type Report struct {
	// Sequence counts the orders that the engine has accepted since its start.
	Sequence int64
	// Busy is set if the engine is executing an order.
	Busy bool
	// Running and Waiting are the numbers of its requests.
	Running, Waiting int
	// Versions are the versions of its weights by model.
	Versions map[string]int64
}

// Order instructs an engine to load a version of weights.
type Order struct {
	// Model and Version identify the weights.
	Model   string
	Version int64
	// Holder and Fencing are those of the lease under which the order is sent.
	Holder  string
	Fencing uint64
	// Sequence must equal the engine's for the order to be accepted, so that an order that
	// arrives late, after others, has no effect.
	Sequence int64
}

// Outcome is an engine's answer to an order.
type Outcome int

const (
	// Unanswered means that the order may have been accepted or may still be executed.
	Unanswered Outcome = iota
	// Accepted means that the engine is executing the order.
	Accepted
	// AlreadyLoaded means that the engine already has those weights.
	AlreadyLoaded
	// Conflict means that another order is being executed or the sequence differs.
	Conflict
	// Fenced means that the engine has seen a higher fencing number.
	Fenced
	// Misdirected means that another server has the address.
	Misdirected
	// Refused means that the engine can't execute the order.
	Refused
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"unanswered", "accepted", "held", "conflict", "fenced", "misdirected", "refused"}[o]
}

// Client calls engines.
type Client interface {
	// Report returns an engine's status.
	Report(ctx context.Context, s directory.Server) (Report, error)
	// Order sends an order; an error is returned with Unanswered.
	Order(ctx context.Context, s directory.Server, o Order) (Outcome, error)
}
