package topic

import (
	"testing"

	"hornbeamwood/internal/site/rowtable"
)

// Guards against a reused topic number. During an upgrade processes of two releases exchange
// rows: one that gets a row of another format under a number that it knows misreads it, or
// gets no servers at all. A row under an unknown number is ignored.
func TestNumbersAreNeverReused(t *testing.T) {
	retired := map[rowtable.Topic]bool{1: true, 2: true, 5: true, 6: true, 8: true, 14: true, 16: true}
	seen := map[rowtable.Topic]bool{}
	for _, x := range []rowtable.Topic{
		DocumentChunks, Servers, Members, TargetVersions, Parts, StoreStates, Weights, Busy, Prefills, Loads, StoreEpochs, EngineCaches, TargetVersionTimes, StoreSummaries,
		Evacuations, Quarantine, Software,
	} {
		if retired[x] || seen[x] {
			t.Errorf("number %d is reused", x)
		}
		seen[x] = true
	}
}
