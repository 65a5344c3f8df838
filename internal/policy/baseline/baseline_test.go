package baseline

import (
	"math/rand/v2"
	"testing"
	"time"

	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/policy/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func cell(n int) *route.Cell {
	c := &route.Cell{Stores: []route.Store{{LinkRate: 1e9}}}
	for i := range n {
		c.Candidates = append(c.Candidates, route.Candidate{
			Identity:   string(rune('a' + i)),
			ReportedAt: start,
			Load:       announcement.Load{PrefillRate: 1000, QueuedTokens: int64(1000 * (n - i))},
		})
	}
	return c
}

// Baselines must not use a lost server either; otherwise the comparison would count failures
// against them that any proxy avoids.
func TestBaselinesSkipSuspects(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, s := range []route.Strategy{NewRoundRobin(Config{}), NewLeastLoaded(Config{}), NewPrefixHash(Config{})} {
		c := cell(4)
		c.Candidates[3].Suspect = true
		for i := range 50 {
			d := s.Decide(start, &route.Request{Key: uint64(i)}, c, random)
			if d.Server == 3 || d.Server == route.None {
				t.Errorf("%s chose %d", s.Name(), d.Server)
			}
		}
		if d := s.Decide(start, &route.Request{}, &route.Cell{}, random); d.Server != route.None {
			t.Errorf("%s chose %d of none", s.Name(), d.Server)
		}
	}
}

func TestBaselineChoices(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c := cell(4)
	rotation := NewRoundRobin(Config{})
	for i := range 8 {
		if d := rotation.Decide(start, &route.Request{}, c, random); d.Server != i%4 {
			t.Errorf("request %d went to %d", i, d.Server)
		}
	}
	if d := NewLeastLoaded(Config{}).Decide(start, &route.Request{}, c, random); d.Server != 3 {
		t.Errorf("least loaded chose %d", d.Server)
	}
	hash := NewPrefixHash(Config{Imports: true})
	q := &route.Request{Key: 7, Pieces: []route.Piece{{Tokens: 1, Copies: []route.Copy{{}}}}}
	first := hash.Decide(start, q, c, random)
	if d := hash.Decide(start, q, c, random); d.Server != first.Server || d.Plan[0].Source != route.Import {
		t.Errorf("prefix hash: got %+v, then %+v", first, d)
	}
}

func TestByRolePartitionsServers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c := cell(4)
	c.Candidates[0].Reserve = true
	s := NewByRole(NewLeastLoaded(Config{}))
	for _, priority := range []int{0, route.UrgentBand} {
		r := &route.Request{}
		r.Rules.Priority = priority
		d := s.Decide(start, r, c, random)
		if c.Candidates[d.Server].Reserve != (priority == route.UrgentBand) {
			t.Errorf("priority %d went to %d", priority, d.Server)
		}
	}
}
