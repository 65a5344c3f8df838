package placement

import "testing"

// If the locations or the load of a lost machine stay in the view of an entry, the entry plans
// imports that never arrive or avoids servers that are idle.
func TestEachChangeDiscardsState(t *testing.T) {
	for c := StoreLost; c <= EntryLost; c++ {
		r := React(c)
		if r.Reason == "" || (!r.ForgetCopies && !r.ForgetMemory && !r.DropWork) {
			t.Errorf("change %d: got %+v", c, r)
		}
	}
}
