package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/base/verdict"
)

func failure(workspace string) Failure {
	return Failure{
		Workspace: workspace, Verdict: verdict.NotRun, Idempotent: true,
		Attempt: 1, Remaining: time.Minute, Servers: 3,
	}
}

// During an overload servers refuse every request and each failed attempt requests a retry. Without
// a bound the load doubles while the servers are already overloaded.
func TestRetriesStayWithinTheirShare(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	properties := gopter.NewProperties(parameters)
	properties.Property("retries never exceed the share of first attempts and the burst", prop.ForAll(
		func(seed uint64, first, workspaces int, share float64) bool {
			random := rand.New(rand.NewPCG(seed, 0))
			const fleetShare = 0.1
			c := Config{}.withDefaults()
			p := New(c)
			firstAttempts := map[string]float64{}
			retries := map[string]float64{}
			var all float64
			for range first {
				w := string(rune('a' + random.IntN(workspaces)))
				p.CountFirstAttempt(w, share, fleetShare)
				firstAttempts[w]++
				for a := 1; ; a++ {
					f := failure(w)
					f.Attempt = a
					if !p.Decide(f, random).Retry {
						break
					}
					retries[w]++
					all++
				}
			}
			for w := range firstAttempts {
				if retries[w] > share*firstAttempts[w]+1+1e-9 {
					return false
				}
			}
			return all <= fleetShare*float64(first)+c.FleetBurst+1e-9
		}, gen.UInt64(), gen.IntRange(1, 500), gen.IntRange(1, 5), gen.Float64Range(0, 0.5)))
	properties.TestingRun(t)
}

// A call without idempotence whose answer was lost may have run; sending it again would run it
// twice, for example issue two certificate numbers for one batch.
func TestForbiddenRetries(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	p := New(Config{})
	p.CountFirstAttempt("a", 1, 1)
	cases := map[Reason]func(f *Failure){
		MayHaveRun:           func(f *Failure) { f.Idempotent, f.Verdict = false, verdict.MayHaveRun },
		PartAnswered:         func(f *Failure) { f.Answered = true },
		NoOtherServer:        func(f *Failure) { f.Servers = 0 },
		NoTime:               func(f *Failure) { f.Remaining = 0 },
		WorkspaceBudgetSpent: func(f *Failure) { f.Workspace = "unknown" },
	}
	for want, change := range cases {
		f := failure("a")
		change(&f)
		if d := p.Decide(f, random); d.Retry || d.Reason != want {
			t.Errorf("want %s, got %+v", want, d)
		}
	}
	f := failure("a")
	f.Idempotent = false
	if d := p.Decide(f, random); !d.Retry {
		t.Errorf("a call that did not run may be retried on another server: %+v", d)
	}
}
