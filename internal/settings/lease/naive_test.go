package lease

import (
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// reportRecord is one report in the reference implementation.
type reportRecord struct {
	at      time.Duration
	name    string
	applied uint64
}

// naiveInForce is a reference implementation that searches all reports to a leader since time zero.
func naiveInForce(all []reportRecord, now time.Duration, revision uint64) (bool, []string) {
	var waiting []string
	for _, name := range []string{"a", "b", "c"} {
		newest, expires := uint64(0), time.Duration(0)
		for _, r := range all {
			if r.name != name {
				continue
			}
			if r.at >= expires {
				newest = 0
			}
			newest = max(newest, r.applied)
			expires = r.at + lengthened(leaseLength)
		}
		active := now < expires
		if active && newest < revision {
			waiting = append(waiting, name)
		}
	}
	return len(waiting) == 0 && now >= lengthened(leaseLength), waiting
}

func TestHoldersAgreeWithNaiveSearch(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(32)
	parameters.MinSuccessfulTests = 300
	p := gopter.NewProperties(parameters)
	p.Property("the same answer", prop.ForAll(func(steps []uint32) bool {
		h := NewHolders(nil)
		h.InForce(at(0), 1, 1, terms(1))
		var all []reportRecord
		now, revision := time.Duration(0), uint64(1)
		for _, n := range steps {
			now += time.Duration(n%1500) * time.Millisecond
			switch {
			case n>>12%5 == 0:
				revision++
			case n>>12%5 < 3:
				r := reportRecord{at: now, name: string(rune('a' + n>>16%3)), applied: revision - min(uint64(n>>20%2), revision)}
				h.Renew(at(now), 1, renewal(r.name, r.applied), terms(revision))
				all = append(all, r)
			default:
				asked := revision - min(uint64(n>>20%3), revision-1)
				got := h.InForce(at(now), 1, asked, terms(revision))
				want, waiting := naiveInForce(all, now, asked)
				if got.InForce != want || !slices.Equal(got.Waiting, waiting) {
					return false
				}
			}
		}
		return true
	}, gen.SliceOfN(60, gen.UInt32())))
	p.TestingRun(t)
}
