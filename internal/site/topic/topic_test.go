package topic

import (
	"testing"

	"hornbeamwood/internal/site/rowtable"
)

// While a site is brought to a new release, processes of both talk to each other. One
// that reads a row of another shape under a number that it knows takes it for what it
// isn't, or knows no server at all; under a number that it doesn't know it passes it
// over. So each topic has a number of its own, and none has that of a retired one.
func TestNumbersAreNeverReused(t *testing.T) {
	retired := map[rowtable.Topic]bool{1: true, 2: true, 5: true}
	seen := map[rowtable.Topic]bool{}
	for _, x := range []rowtable.Topic{
		DocumentChunks, Servers, Members, Versions, Parts, StoresUp, Weights, Busy, Prefills, Loads, Epochs, EngineCaches, NamedAt, StoreSummaries,
	} {
		if retired[x] || seen[x] {
			t.Errorf("number %d is used again", x)
		}
		seen[x] = true
	}
}
