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
	f, ok := o.local.Get(k, time.Now())
	outcome := Known
	if !ok {
		f, outcome = o.ask(ctx, k)
	}
	for i := 0; outcome == Unknown && i < len(searchAgain) && wait.For(ctx, searchAgain[i]); i++ {
		f, outcome = o.ask(ctx, k)
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

// ask asks all replicas at once. It returns when one knows the origin, or when all have answered that aren't silent;
// if all are, when all have.
func (o *origins) ask(ctx context.Context, k Key) (Found, Outcome) {
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
	if expected == 0 {
		return Found{}, Unanswered
	}
	outcome := Unknown
	for expected > 0 {
		r := <-replies
		if r.Found != nil {
			return *r.Found, Known
		}
		if !r.expected {
			continue
		}
		expected--
		if r.err != nil {
			outcome = Unanswered
		}
	}
	return Found{}, outcome
}
