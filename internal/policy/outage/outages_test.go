package outage

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a server that is left out although it was seen after its failure, and against memory that grows
// with each server that never comes back.
func TestOutageEnds(t *testing.T) {
	o, start := New(), time.Unix(1_800_000_000, 0)
	o.Add(start, "a")
	if !o.LostAfter(start.Add(-time.Second), "a") || o.LostAfter(start.Add(-time.Second), "b") {
		t.Error("not exactly the failed server counts as lost")
	}
	if o.LostAfter(start, "a") {
		t.Error("a server that was seen later counts as lost")
	}
	for n := range 100 {
		o.Add(start.Add(time.Duration(n)*forgetAfter/2), fmt.Sprint(n))
	}
	if kept := len(o.(*outages).at); kept > 3 {
		t.Errorf("%d failures are kept", kept)
	}
}
