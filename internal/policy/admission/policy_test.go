package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/base/verdict"
)

// During an overload most callers cannot be served in time. Each must be refused at once, with the
// correct verdict and a time to resend. A caller that is held until its deadline has waited in
// vain.
func TestRefusalsAreFinalAndTimed(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	properties := gopter.NewProperties(parameters)
	p := New(Config{Margin: 0.9})
	properties.Property("refused exactly when the deadline would be missed, with verdict and whole seconds", prop.ForAll(
		func(ttft, deadline int64, seed uint64) bool {
			in := Input{Server: true, TTFT: time.Duration(ttft) * time.Millisecond, Deadline: time.Duration(deadline) * time.Millisecond}
			d := p.Decide(in, rand.New(rand.NewPCG(seed, 0)))
			late := in.Deadline > 0 && float64(in.TTFT) > 0.9*float64(in.Deadline)+1
			if d.Admit {
				return !late && d.Err() == nil
			}
			e, ok := verdict.As(d.Err())
			whole := d.RetryAfter >= time.Second && d.RetryAfter%time.Second == 0
			return ok && e.Verdict == verdict.NotRun && e.RetryAfter == d.RetryAfter && whole
		}, gen.Int64Range(0, 100000), gen.Int64Range(0, 50000), gen.UInt64()))
	properties.TestingRun(t)
}

func TestLimits(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	p := New(Config{})
	cases := []struct {
		in     Input
		reason Reason
		status int
	}{
		{Input{}, NoServer, 503},
		{Input{Server: true, InFlight: 5, MaxInFlight: 5}, TooManyInFlight, 429},
		{Input{Server: true, TTFT: 2 * time.Second, Deadline: time.Second}, DeadlineMissed, 503},
		{Input{Server: true, TTFT: time.Hour}, Fits, 0},
	}
	for _, c := range cases {
		d := p.Decide(c.in, random)
		if d.Reason != c.reason {
			t.Errorf("%+v: got %s", c.in, d.Reason)
		}
		if e, ok := verdict.As(d.Err()); ok && e.Status != c.status {
			t.Errorf("%s: got status %d", d.Reason, e.Status)
		}
	}
}
