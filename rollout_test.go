package hornbeamwood_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// A new weight version is rolled out while the entry that gives the orders is suspended
// and resumed later. More than two loads at once would slow down all of them, and a
// server that got two orders would be unavailable twice. Users would get slow first
// tokens or answers of two versions.
func TestRolloutWithASuspendedOrderHolder(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.startNodes()
	weights := f.startStandin("weights-1", "weights", "[weights]\nload-time = \"1s\"\nfull-speed-loads = 2\n[weights.versions]\n\"draft/v1\" = 1000\n\"draft/v2\" = 1000\n")
	for i := range 5 {
		checks := fmt.Sprintf("checks-fencing = %v", i%2 == 0)
		table := strings.Replace(engineTable, "checks-fencing = true", checks, 1) + fmt.Sprintf("weight-store = %q\n", weights.url())
		f.engines = append(f.engines, f.startStandin(fmt.Sprintf("engine-%d", i+1), "engine", table))
	}
	f.applyTree(f.entries[0], smallTree())
	for _, e := range f.entries {
		f.serves(e, gateKey, "draft")
	}

	f.accepted(f.entries[0], "roll-out", "/models/draft", "weight-version = \"v2\"\n")
	var suspensions sync.WaitGroup
	suspensions.Go(func() {
		for _, e := range f.entries {
			f.suspend(e, 7*time.Second)
		}
	})
	eventually(t, "every engine has the new version", func() bool {
		n := 0
		for _, e := range f.engines {
			if f.holds(e, "draft@v2") {
				n++
			}
		}
		return n == len(f.engines)
	})
	suspensions.Wait()
	if maxLoads := getJSON[int](t, weights.url()+"/standin/most-at-once"); maxLoads > 2 {
		t.Errorf("%d weight loads ran at once", maxLoads)
	}
	for _, e := range f.entries {
		f.serves(e, gateKey, "draft")
	}
}

// holds returns whether a server holds a model's version, according to any entry that answers.
func (f *fleet) holds(server *host, holding string) bool {
	for _, e := range f.entries {
		a := call{method: http.MethodGet, url: e.url() + "/readyz"}
		if quick(a).status != http.StatusOK {
			continue
		}
		r, _ := f.status(e)
		for _, s := range r.Servers {
			if s.Identity == server.name && len(s.Holds) == 1 && s.Holds[0] == holding {
				return true
			}
		}
	}
	return false
}
