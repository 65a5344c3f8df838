package share

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
)

var now = time.Unix(100, 0)

// Guards against two entries sending long prompts to the same engine because neither knows of
// the other's. Each must see the other's load there, and never count its own twice.
func TestEntriesSeeEachOther(t *testing.T) {
	a, b, aggregator := NewPeerLoads("a"), NewPeerLoads("b"), NewAggregator()
	first, _ := a.NextReport(Loads{"s": {InFlight: 1, PrefillTokens: 100}}, false, now)
	other, _ := b.NextReport(Loads{"s": {InFlight: 2, PrefillTokens: 50}}, false, now)
	aggregator.Add(first, now)
	aggregator.Add(other, now)
	sum := aggregator.Sum(now)
	// The entry has sent more requests since the report that the sum includes.
	second, _ := a.NextReport(Loads{"s": {InFlight: 5, PrefillTokens: 500}}, false, now)
	a.Apply(sum, now)
	b.Apply(sum, now)
	if l := a.Load("s", now); l != (Load{InFlight: 2, PrefillTokens: 50}) {
		t.Errorf("a sees %+v", l)
	}
	if l := b.Load("s", now); l != (Load{InFlight: 1, PrefillTokens: 100}) {
		t.Errorf("b sees %+v", l)
	}
	aggregator.Add(second, now)
	aggregator.Add(first, now)
	if l := aggregator.Sum(now).Loads[hash("s")]; l.InFlight != 7 {
		t.Errorf("an outdated report replaced a newer one: %+v", l)
	}
}

// A waiter may take capacity that others have taken already, as long as no report of it can
// have arrived. That delay differs between sites; the entry measures it by its own reports. A
// sum that includes no newer report must not count.
func TestPropagationDelayIsMeasuredByOwnReports(t *testing.T) {
	a, aggregator := NewPeerLoads("a"), NewAggregator()
	if a.PropagationDelay() != 0 {
		t.Error("a delay before any report")
	}
	for i := range 20 {
		sent := now.Add(time.Duration(i) * time.Second)
		r, _ := a.NextReport(Loads{"s": {InFlight: i + 1}}, false, sent)
		aggregator.Add(r, sent)
		a.Apply(aggregator.Sum(sent), sent.Add(300*time.Millisecond))
		a.Apply(aggregator.Sum(sent), sent.Add(800*time.Millisecond))
	}
	if l := a.PropagationDelay(); l != 300*time.Millisecond {
		t.Errorf("the delay is %s", l)
	}
}

// An entry was killed with requests in flight. Its last report must not keep others from an
// engine that has long been free.
func TestReportOfLostEntryExpires(t *testing.T) {
	a, aggregator := NewPeerLoads("a"), NewAggregator()
	r, _ := a.NextReport(Loads{"s": {InFlight: 9}}, false, now)
	aggregator.Add(r, now)
	if l := aggregator.Sum(now.Add(reportTimeout + time.Millisecond)).Loads[hash("s")]; l.InFlight != 0 {
		t.Errorf("still counted: %+v", l)
	}
	a.Apply(aggregator.Sum(now), now)
	if l := a.Load("s", now.Add(sumTimeout+time.Millisecond)); l != (Load{}) {
		t.Errorf("an expired sum still counts: %+v", l)
	}
}

// Every entry receives the sum several times a second. With the engines' full names in it, the
// sums of a fleet of a thousand engines saturated the links between zones. The sizes here are
// those of a large site: 90 engines and 86 entries.
func TestSumIsShort(t *testing.T) {
	aggregator := NewAggregator()
	for e := range 86 {
		loads := Loads{}
		for s := e % 3; s < 90; s += 3 {
			loads[fmt.Sprintf("i-%010x", s)] = Load{InFlight: 1, PrefillTokens: 4000, ReservedTokens: 17000}
		}
		aggregator.Add(Report{Entry: fmt.Sprint("10.0.0.", e), Sequence: 100, Loads: loads}, now)
	}
	b, err := codec.Marshal(aggregator.Sum(now))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes", len(b))
	if most := 90*19 + 86*8; len(b) > most {
		t.Errorf("a sum has %d bytes, more than %d", len(b), most)
	}
}
