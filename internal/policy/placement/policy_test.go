package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/policy/route"
	"hornbeamwood/internal/settings/rules"
)

func stores(n int) []Store {
	all := make([]Store, n)
	for i := range all {
		all[i] = Store{Identity: string(rune('a' + i)), LinkRate: 1e9, Memory: 1 << 40, Disk: 1 << 40}
	}
	return all
}

// A store is lost and later returns with an empty cache. If keys moved between the remaining
// stores, their copies would no longer be found and would be recomputed.
func TestOnlyKeysOfLostStoreMove(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261203))
	properties.Property("a key moves only when its own store is lost, and back when it returns", prop.ForAll(
		func(key uint64, n, lost int) bool {
			all := stores(n)
			before := Place(key, all)
			all[lost%n].Lost = true
			during := Place(key, all)
			all[lost%n].Lost = false
			if n == 1 {
				return during == route.None
			}
			return (during == before) != (before == lost%n) && Place(key, all) == before
		}, gen.UInt64(), gen.IntRange(1, 6), gen.IntRange(0, 5)))
	properties.TestingRun(t)
}

func TestPlaceIsWeightedBySize(t *testing.T) {
	all := stores(2)
	all[1].Memory, all[1].Disk = 3*all[0].Memory, 3*all[0].Disk
	r := rand.New(rand.NewPCG(1, 1))
	larger := 0
	for range 10000 {
		larger += Place(r.Uint64(), all)
	}
	if math.Abs(float64(larger)-7500) > 200 {
		t.Errorf("the store of three times the size got %d of 10000", larger)
	}
}

func TestExportsDependOnWorth(t *testing.T) {
	in := Input{
		Rules:            rules.Rules{CacheExport: true, RecomputePrice: 1, LinkPrice: 1},
		ReuseProbability: 0.8, PrefillRate: 10000,
		Pieces: []Piece{{Key: 1, Tokens: 4000, Bytes: 2.5e8}, {Key: 2, Tokens: 4000, Bytes: 2.5e8, Stored: true}},
		Stores: stores(2),
	}
	if d := Decide(in); d.Reason != WorthTheLink || len(d.Exports) != 1 || d.Exports[0].Piece != 0 {
		t.Errorf("likely return: got %+v", d)
	}
	never := in
	never.ReuseProbability = 0
	if d := Decide(never); d.Reason != NotWorthTheLink || len(d.Exports) != 0 {
		t.Errorf("no return: got %+v", d)
	}
	forbidden := in
	forbidden.Rules.CacheExport = false
	if d := Decide(forbidden); d.Reason != NotAllowed {
		t.Errorf("forbidden: got %+v", d)
	}
	in.Stores[0].Lost, in.Stores[1].Lost = true, true
	if d := Decide(in); d.Reason != NoStore {
		t.Errorf("all lost: got %+v", d)
	}
}

func TestReuseProbabilityIsLearned(t *testing.T) {
	r := NewReuseEstimator(0.5)
	for i := range 1000 {
		r.Seen("large", 1)
		if i%10 == 0 {
			r.Seen("large", 2)
			r.Seen("large", 3)
		}
	}
	if p := r.Probability("large", 1); p > 0.15 {
		t.Errorf("one in ten prompts is sent again, got probability %.2f", p)
	}
	if p := r.Probability("large", 2); p < 0.8 {
		t.Errorf("each second visit is followed by a third, got probability %.2f", p)
	}
	if p := r.Probability("other", 1); p != 0.5 {
		t.Errorf("unknown workspace: got probability %.2f", p)
	}
}
