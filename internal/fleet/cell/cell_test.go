package cell

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/fleet/membership"
)

func layout(t testing.TB, n int) Layout {
	t.Helper()
	var cells []Cell
	for i := range n {
		cells = append(cells, Cell{Name: fmt.Sprintf("cell-%02d", i), Zone: "z", Entries: []string{fmt.Sprintf("e-%d-a", i), fmt.Sprintf("e-%d-b", i)}})
	}
	l, err := NewLayout(cells)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func keys(n int) []block.Key {
	tokens := make([]uint32, n)
	for i := range tokens {
		tokens[i] = uint32(i)
	}
	return block.Scope{Workspace: "w", PieceTokens: 1}.Tokens(tokens)
}

// A cell is added while prompts keep being sent. Only the prompts that move to it may lose their
// cache. If all prompts were redistributed, every cached prefix of the region would be recomputed
// at once.
func TestOnlyThePromptsOfANewCellMove(t *testing.T) {
	before, after := layout(t, 15), layout(t, 16)
	moved, count := 0, map[string]int{}
	all := keys(16000)
	for _, k := range all {
		old, now := before.Home(k).Name, after.Home(k).Name
		count[now]++
		if old == now {
			continue
		}
		moved++
		if now != "cell-15" {
			t.Fatalf("a prompt moved from %s to %s", old, now)
		}
	}
	if moved < 800 || moved > 1200 {
		t.Errorf("%d of %d prompts moved", moved, len(all))
	}
	for name, n := range count {
		if n < 800 || n > 1200 {
			t.Errorf("%s is the home of %d of %d prompts", name, n, len(all))
		}
	}
}

func TestLayoutErrors(t *testing.T) {
	for _, cells := range [][]Cell{
		{{Name: "", Entries: []string{"a"}}},
		{{Name: "x"}},
		{{Name: "x", Entries: []string{"a"}}, {Name: "x", Entries: []string{"b"}}},
		{{Name: "x", Entries: []string{"a"}}, {Name: "y", Entries: []string{"a"}}},
	} {
		if _, err := NewLayout(cells); err == nil {
			t.Errorf("%v was accepted", cells)
		}
	}
	l := layout(t, 1)
	if c, ok := l.Of("e-0-b"); !ok || c.Name != "cell-00" || len(l.Peers("e-0-b")) != 1 {
		t.Errorf("got %v", c)
	}
	if l.Home(keys(1)[0]).Name != "cell-00" {
		t.Error("the only cell is not the home of a prompt")
	}
}

func digest(cell string, engines int, rate, queued int64) Digest {
	return Digest{Cell: cell, Models: []ModelDigest{{Model: "m", WeightVersion: "v", Engines: engines, PrefillRate: rate, QueuedTokens: queued}}}
}

func TestDecide(t *testing.T) {
	in := Input{
		LocalCell:     "a",
		HomeCell:      "b",
		Model:         "m",
		WeightVersion: "v",
		PromptTokens:  32_000,
		HitRatio:      0.8,
		RoundTrip:     4 * time.Millisecond,
		Local:         digest("a", 4, 32_000, 1000),
		Remote:        digest("b", 4, 32_000, 8000),
		RemoteAge:     time.Second,
		RemoteKnown:   true,
	}
	change := func(f func(x *Input)) Input {
		x := in
		f(&x)
		return x
	}
	cases := []struct {
		in   Input
		want Decision
	}{
		{in, Decision{HandOver: true, Reason: CacheAtHome}},
		{change(func(x *Input) { x.HomeCell = "a" }), Decision{Reason: AtHome}},
		{change(func(x *Input) { x.HomeCell = "" }), Decision{Reason: NoHome}},
		{change(func(x *Input) { x.HandedOver = true }), Decision{Reason: HandedOver}},
		{change(func(x *Input) { x.RemoteKnown = false }), Decision{Reason: HomeUnknown}},
		{change(func(x *Input) { x.RemoteAge = 11 * time.Second }), Decision{Reason: HomeUnknown}},
		{change(func(x *Input) { x.Remote = Digest{} }), Decision{Reason: HomeLacksModel}},
		{change(func(x *Input) { x.Local = Digest{} }), Decision{HandOver: true, Reason: HereLacksModel}},
		{change(func(x *Input) { x.Remote = digest("b", 4, 32_000, 400_000) }), Decision{Reason: HomeSlower}},
		{change(func(x *Input) { x.PromptTokens = 100 }), Decision{Reason: HomeSlower}},
	}
	for _, c := range cases {
		if got := Decide(c.in); got != c.want {
			t.Errorf("want %+v, got %+v", c.want, got)
		}
	}
}

// Responses from another cell can arrive out of order. The older one must not replace the queue
// length of a newer one.
func TestOlderDigestIsIgnored(t *testing.T) {
	d, at := NewDigests(), time.Unix(100, 0)
	d.Update(at.Add(time.Second), digest("b", 1, 1, 2))
	d.Update(at, digest("b", 1, 1, 1))
	got, age, ok := d.Get(at.Add(3*time.Second), "b")
	if !ok || age != 2*time.Second || got.Models[0].QueuedTokens != 2 {
		t.Errorf("got %+v, %v, %v", got, age, ok)
	}
	if _, _, ok := d.Get(at, "c"); ok {
		t.Error("got a digest of an unknown cell")
	}
}

func cellView(n int) membership.View {
	t := membership.New(membership.Config{})
	for i := range n {
		t.Announce(time.Unix(100, 0), announcement.Announcement{
			Identity:    fmt.Sprintf("engine-%d", i),
			Incarnation: 1,
			Sequence:    1,
			Zone:        "z",
			Address:     fmt.Sprintf("10.0.0.%d:80", i+1),
			Kind:        announcement.Engine,
			State:       announcement.Ready,
			Holdings:    []announcement.Holding{{Model: fmt.Sprintf("model-%d", i%4), WeightVersion: "2026-11-30"}},
			Load:        announcement.Load{Sequence: 1, PrefillRate: 8000, QueuedTokens: 5000, MaxRunning: 64, Running: 60},
		})
	}
	return t.View()
}

func TestSummarize(t *testing.T) {
	d := Summarize(time.Unix(100, 0), "a", 1, cellView(8), 0)
	want := ModelDigest{Model: "model-0", WeightVersion: "2026-11-30", Engines: 2, PrefillRate: 16_000, QueuedTokens: 10_000, FreeSlots: 8}
	if len(d.Models) != 4 || d.Models[0] != want || d.Models[0].Wait() != 625*time.Millisecond {
		t.Errorf("got %+v", d)
	}
	if d := Summarize(time.Unix(110, 0), "a", 1, cellView(8), 0); len(d.Models) != 0 {
		t.Errorf("engines without recent reports are counted: %+v", d)
	}
}

// BenchmarkDigest reports the encoded size of the digest of a cell with 60 servers and 4 models,
// and of 16 such digests.
func BenchmarkDigest(b *testing.B) {
	v := cellView(60)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		d := Summarize(time.Unix(100, 0), "cell-07", 123456, v, 0)
		t, err := codec.Marshal(d)
		if err != nil {
			b.Fatal(err)
		}
		size = len(t)
	}
	b.ReportMetric(float64(size), "B/digest")
	b.ReportMetric(float64(16*size), "B/16-cells")
}

func BenchmarkHome(b *testing.B) {
	l, k := layout(b, 16), keys(1)[0]
	for b.Loop() {
		l.Home(k)
	}
}
