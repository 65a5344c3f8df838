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

// Servers refuse everything during an overload and each failed attempt asks
// for another. Without a bound the load doubles just when it can't be carried.
func TestRetriesStayWithinTheirShare(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	properties := gopter.NewProperties(parameters)
	properties.Property("retries never exceed the share of first tries and the burst", prop.ForAll(
		func(seed uint64, first, workspaces int, share float64) bool {
			random := rand.New(rand.NewPCG(seed, 0))
			const fleetShare = 0.1
			c := Config{}.withDefaults()
			p := New(c)
			tries := map[string]float64{}
			retries := map[string]float64{}
			var all float64
			for range first {
				w := string(rune('a' + random.IntN(workspaces)))
				p.First(w, share, fleetShare)
				tries[w]++
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
			for w := range tries {
				if retries[w] > share*tries[w]+1+1e-9 {
					return false
				}
			}
			return all <= fleetShare*float64(first)+c.FleetBurst+1e-9
		}, gen.UInt64(), gen.IntRange(1, 500), gen.IntRange(1, 5), gen.Float64Range(0, 0.5)))
	properties.TestingRun(t)
}

// An issue stamp whose answer was lost may have been issued. Sending it again
// would put two certificate numbers on one batch.
func TestWhatIsNeverRepeated(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	p := New(Config{})
	p.First("a", 1, 1)
	cases := map[Reason]func(f *Failure){
		MayRepeat:      func(f *Failure) { f.Idempotent, f.Verdict = false, verdict.MayHaveRun },
		PartAnswered:   func(f *Failure) { f.Answered = true },
		NoOther:        func(f *Failure) { f.Servers = 0 },
		NoTime:         func(f *Failure) { f.Remaining = 0 },
		WorkspaceSpent: func(f *Failure) { f.Workspace = "unknown" },
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
		t.Errorf("a call that did not run may be sent elsewhere: %+v", d)
	}
}
