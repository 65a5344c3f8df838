package placement

import "testing"

// A machine is lost and its locations or its load stay in an entry's view. The
// entry then plans imports that never arrive, or avoids servers that are idle.
func TestEachChangeForgetsSomething(t *testing.T) {
	for c := StoreLost; c <= EntryLost; c++ {
		r := React(c)
		if r.Reason == "" || (!r.ForgetCopies && !r.ForgetMemory && !r.DropWork) {
			t.Errorf("change %d: got %+v", c, r)
		}
	}
}
