package retry

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Half of the servers fail everything. Each entry repeats what it may; if
// together they repeated more than the budget, the healthy half would drown in
// repeats and callers would see a fault of one half as a fault of all.
func TestFleetStaysWithinBudget(t *testing.T) {
	terms := Terms{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}
	p := gopter.NewProperties(nil)
	p.Property("in any window", prop.ForAll(func(entries int, perSecond int) bool {
		fleet := make([]Budget, entries)
		for i := range fleet {
			fleet[i] = NewBudget(terms)
			fleet[i].SetEntries(entries)
		}
		var requests, repeats []time.Duration
		start := time.Unix(0, 0)
		gap := time.Second / time.Duration(perSecond)
		for at := time.Duration(0); at < 30*time.Second; at += gap {
			b := fleet[len(requests)%entries]
			b.RecordRequest("s", start.Add(at))
			requests = append(requests, at)
			if b.Spend("s", start.Add(at)) {
				repeats = append(repeats, at)
			}
		}
		for from := time.Duration(0); from < 20*time.Second; from += time.Second {
			sent, again := count(requests, from, terms.Window), count(repeats, from, terms.Window)
			if float64(again) > terms.Ratio*float64(sent)+terms.Slack {
				return false
			}
		}
		return len(repeats) > 0
	}, gen.IntRange(1, 12), gen.IntRange(1, 400)))
	p.TestingRun(t)
}

func count(at []time.Duration, from, span time.Duration) int {
	n := 0
	for _, t := range at {
		if t >= from && t < from+span {
			n++
		}
	}
	return n
}
