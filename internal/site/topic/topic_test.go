package topic

import (
	"testing"

	"hornbeamwood/internal/site/rowtable"
)

// Guards against a reused topic number. During an upgrade processes of two releases exchange
// rows: one that gets a row of another format under a number that it knows misreads it, or
// gets no servers at all. A row under an unknown number is ignored.
func TestNumbersAreNeverReused(t *testing.T) {
	retired := map[rowtable.Topic]bool{1: true, 2: true, 5: true}
	seen := map[rowtable.Topic]bool{}
	for _, x := range []rowtable.Topic{
		DocumentChunks, Servers, Members, TargetVersions, Parts, StoresUp, Weights, Busy, Prefills, Loads, StoreEpochs, EngineCaches, TargetVersionTimes, StoreSummaries,
	} {
		if retired[x] || seen[x] {
			t.Errorf("number %d is reused", x)
		}
		seen[x] = true
	}
}
