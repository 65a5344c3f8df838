package retry

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Half of the servers fail every request, and each entry retries as often as it may. If
// together the entries exceeded the budget, the retries would overload the healthy half, and
// callers would see a failure of one half as a failure of all.
func TestFleetStaysWithinBudget(t *testing.T) {
	terms := Terms{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}
	p := gopter.NewProperties(nil)
	p.Property("in any window", prop.ForAll(func(entries int, perSecond int) bool {
		fleet := make([]Budget, entries)
		for i := range fleet {
			fleet[i] = NewBudget(terms)
			fleet[i].SetEntries(entries)
		}
		var requests, retries []time.Duration
		start := time.Unix(0, 0)
		gap := time.Second / time.Duration(perSecond)
		for at := time.Duration(0); at < 30*time.Second; at += gap {
			b := fleet[len(requests)%entries]
			b.RecordRequest("s", start.Add(at))
			requests = append(requests, at)
			if b.Spend("s", start.Add(at)) {
				retries = append(retries, at)
			}
		}
		for from := time.Duration(0); from < 20*time.Second; from += time.Second {
			sent, retried := count(requests, from, terms.Window), count(retries, from, terms.Window)
			if float64(retried) > terms.Ratio*float64(sent)+terms.Slack {
				return false
			}
		}
		return len(retries) > 0
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
