package origin

import (
	"context"
	"slices"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/node/rpc"
)

// Find implements Origins.
func (o *origins) Find(ctx context.Context, k Key) (Found, Outcome) {
	f, outcome := o.local.Get(k, time.Now())
	if outcome != Conflicting {
		f, outcome = o.ask(ctx, k, f, outcome == Known)
	}
	for i := 0; outcome == Unknown && i < len(searchAgain) && wait.For(ctx, searchAgain[i]); i++ {
		f, outcome = o.ask(ctx, k, Found{}, false)
	}
	o.outcomes[outcome].Inc()
	return f, outcome
}

// reply is what one replica has answered.
type reply struct {
	answer
	err      error
	expected bool
}

// ask asks all replicas at once. It returns when all have answered that aren't silent; if all are, when all have.
// Callers that use the same ID at two entries leave different records at the replicas, and perhaps only one of them at
// each, so that the first answer isn't enough.
func (o *origins) ask(ctx context.Context, k Key, f Found, known bool) (Found, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	replicas := o.Replicas()
	allSilent := !slices.ContainsFunc(replicas, func(r Replica) bool { return !r.Silent })
	replies := make(chan reply, len(replicas))
	expected := 0
	for _, r := range replicas {
		awaited := allSilent || !r.Silent
		if awaited {
			expected++
		}
		go func() {
			a, err := rpc.Call(ctx, o.Node, r.Address, findMethod, k)
			replies <- reply{a, err, awaited}
		}()
	}
	outcome := Unknown
	if expected == 0 {
		outcome = Unanswered
	}
	for expected > 0 {
		r := <-replies
		switch {
		case r.Conflicting || r.Found != nil && known && r.Found.Origin != f.Origin:
			return Found{}, Conflicting
		case r.Found != nil && !known:
			f, known = *r.Found, true
		}
		if r.expected {
			expected--
		}
		if r.expected && r.err != nil {
			outcome = Unanswered
		}
	}
	if known {
		return f, Known
	}
	return Found{}, outcome
}
