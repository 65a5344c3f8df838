package share

import (
	"testing"
	"time"
)

var now = time.Unix(100, 0)

// Two entries send long prompts to the same engine because neither sees the
// other's. Each must see what the other has there, and never its own twice.
func TestEntriesSeeEachOther(t *testing.T) {
	a, b, adder := NewOthers("a"), NewOthers("b"), NewAdder()
	first, _ := a.Post(Loads{"s": {InFlight: 1, Reading: 100}}, false)
	other, _ := b.Post(Loads{"s": {InFlight: 2, Reading: 50}}, false)
	adder.Take(first, now)
	adder.Take(other, now)
	sum := adder.Sum(now)
	// The entry has sent more since the post that the sum includes.
	second, _ := a.Post(Loads{"s": {InFlight: 5, Reading: 500}}, false)
	a.Take(sum, now)
	b.Take(sum, now)
	if l := a.Load("s", now); l != (Load{InFlight: 2, Reading: 50}) {
		t.Errorf("a sees %+v", l)
	}
	if l := b.Load("s", now); l != (Load{InFlight: 1, Reading: 100}) {
		t.Errorf("b sees %+v", l)
	}
	adder.Take(second, now)
	adder.Take(first, now)
	if l := adder.Sum(now).Loads["s"]; l.InFlight != 7 {
		t.Errorf("a post that came late undid a newer one: %+v", l)
	}
}

// An entry was killed with requests under way. What it told last must not keep
// others from an engine that has long been free.
func TestLostEntryIsForgotten(t *testing.T) {
	a, adder := NewOthers("a"), NewAdder()
	p, _ := a.Post(Loads{"s": {InFlight: 9}}, false)
	adder.Take(p, now)
	if l := adder.Sum(now.Add(postTimeout + time.Millisecond)).Loads["s"]; l.InFlight != 0 {
		t.Errorf("still counted: %+v", l)
	}
	a.Take(adder.Sum(now), now)
	if l := a.Load("s", now.Add(sumTimeout+time.Millisecond)); l != (Load{}) {
		t.Errorf("an old sum still counts: %+v", l)
	}
}
