package weights

import (
	"context"

	"hornbeamwood/internal/site/directory"
)

// Report is what an engine says of itself; it may be a few hundred milliseconds old.
type Report struct {
	// Sequence counts the orders that the engine has accepted since its start.
	Sequence int64
	// Busy says that it carries out an order.
	Busy bool
	// Running and Waiting count its requests.
	Running, Waiting int
	// Versions are the versions of its weights by model.
	Versions map[string]int64
}

// Order asks an engine for other weights.
type Order struct {
	// Model and Version name the weights.
	Model   string
	Version int64
	// Holder and Fencing are those of the lease under which the order is given.
	Holder  string
	Fencing uint64
	// Sequence must be the engine's for the order to count, so that one that is
	// carried out late, after others, changes nothing.
	Sequence int64
}

// Outcome is an engine's answer to an order.
type Outcome int

const (
	// Unanswered means that the order may have been accepted, or may be carried out later.
	Unanswered Outcome = iota
	// Accepted means that it is being carried out.
	Accepted
	// AlreadyLoaded means that the engine has those weights already.
	AlreadyLoaded
	// Conflict means that another order is under way or the sequence differs.
	Conflict
	// Fenced means that a higher fencing number has been seen.
	Fenced
	// Misdirected means that another server has the address.
	Misdirected
	// Refused means that the engine can't carry it out.
	Refused
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"unanswered", "accepted", "held", "conflict", "fenced", "misdirected", "refused"}[o]
}

// Client speaks to engines.
type Client interface {
	// Report asks an engine what it has.
	Report(ctx context.Context, s directory.Server) (Report, error)
	// Order gives an order; an error comes with Unanswered.
	Order(ctx context.Context, s directory.Server, o Order) (Outcome, error)
}
