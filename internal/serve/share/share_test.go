package share

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
)

var now = time.Unix(100, 0)

// Two entries send long prompts to the same engine because neither sees the
// other's. Each must see what the other has there, and never its own twice.
func TestEntriesSeeEachOther(t *testing.T) {
	a, b, adder := NewPeerLoads("a"), NewPeerLoads("b"), NewAggregator()
	first, _ := a.NextReport(Loads{"s": {InFlight: 1, PrefillTokens: 100}}, false, now)
	other, _ := b.NextReport(Loads{"s": {InFlight: 2, PrefillTokens: 50}}, false, now)
	adder.Add(first, now)
	adder.Add(other, now)
	sum := adder.Sum(now)
	// The entry has sent more since the post that the sum includes.
	second, _ := a.NextReport(Loads{"s": {InFlight: 5, PrefillTokens: 500}}, false, now)
	a.Apply(sum, now)
	b.Apply(sum, now)
	if l := a.Load("s", now); l != (Load{InFlight: 2, PrefillTokens: 50}) {
		t.Errorf("a sees %+v", l)
	}
	if l := b.Load("s", now); l != (Load{InFlight: 1, PrefillTokens: 100}) {
		t.Errorf("b sees %+v", l)
	}
	adder.Add(second, now)
	adder.Add(first, now)
	if l := adder.Sum(now).Loads[hash("s")]; l.InFlight != 7 {
		t.Errorf("a post that came late undid a newer one: %+v", l)
	}
}

// A waiter takes room that others may have taken already, as long as no news of it
// can have come. How long that is differs between sites; the entry sees it at its own
// posts, of which one that came with nothing new says nothing.
func TestLagIsThatOfOwnPosts(t *testing.T) {
	a, adder := NewPeerLoads("a"), NewAggregator()
	if a.PropagationDelay() != 0 {
		t.Error("a lag before any post")
	}
	for i := range 20 {
		sent := now.Add(time.Duration(i) * time.Second)
		p, _ := a.NextReport(Loads{"s": {InFlight: i + 1}}, false, sent)
		adder.Add(p, sent)
		a.Apply(adder.Sum(sent), sent.Add(300*time.Millisecond))
		a.Apply(adder.Sum(sent), sent.Add(800*time.Millisecond))
	}
	if l := a.PropagationDelay(); l != 300*time.Millisecond {
		t.Errorf("the lag is %s", l)
	}
}

// An entry was killed with requests under way. What it told last must not keep
// others from an engine that has long been free.
func TestLostEntryIsForgotten(t *testing.T) {
	a, adder := NewPeerLoads("a"), NewAggregator()
	p, _ := a.NextReport(Loads{"s": {InFlight: 9}}, false, now)
	adder.Add(p, now)
	if l := adder.Sum(now.Add(postTimeout + time.Millisecond)).Loads[hash("s")]; l.InFlight != 0 {
		t.Errorf("still counted: %+v", l)
	}
	a.Apply(adder.Sum(now), now)
	if l := a.Load("s", now.Add(sumTimeout+time.Millisecond)); l != (Load{}) {
		t.Errorf("an old sum still counts: %+v", l)
	}
}

// Every entry gets the sum several times a second. With the engines' full names in
// it, a fleet of a thousand engines filled the links between zones with nothing
// but sums. The sizes: 90 engines and 86 entries, as one large site has them.
func TestSumIsShort(t *testing.T) {
	adder := NewAggregator()
	for e := range 86 {
		loads := Loads{}
		for s := e % 3; s < 90; s += 3 {
			loads[fmt.Sprintf("i-%010x", s)] = Load{InFlight: 1, PrefillTokens: 4000, ReservedTokens: 17000}
		}
		adder.Add(Report{Entry: fmt.Sprint("10.0.0.", e), Sequence: 100, Loads: loads}, now)
	}
	b, err := codec.Marshal(adder.Sum(now))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes", len(b))
	if most := 90*19 + 86*8; len(b) > most {
		t.Errorf("a sum has %d bytes, over %d", len(b), most)
	}
}
