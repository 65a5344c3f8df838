package choose

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/site/directory"
)

func engines(n int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{Server: directory.Server{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%4), Slots: 12}}
	}
	return all
}

func longPrompt(missing int) EnginePicker {
	return EnginePicker{
		Now: now, Zone: "z0", Capacity: 80000, TokensPerEvent: 6, EventGap: 500 * time.Millisecond, Output: 100,
		Parts: []Part{{Salt: "m/1", ID: "p", Tokens: missing, Shared: true}, {Salt: "m/1", ID: "own", Tokens: 100}},
	}
}

// A long dossier that no engine holds has to be prefilled while other engines stream short
// notes. Prefilled next to those streams, it would delay each of their events by half a second
// and make all of them late. The idle engine in another zone costs only a few milliseconds
// more.
func TestLongPrefillAvoidsRunningStreams(t *testing.T) {
	all := engines(2)
	all[0].Stats = observe.ServerStats{InFlight: 6, ReservedTokens: 3000}
	if p := longPrompt(30000).Pick(all); p.Index != 1 {
		t.Errorf("prefill next to six streams: %+v", p)
	}
	if p := longPrompt(3000).Pick(all); p.Index != 0 && p.Index != 1 || !p.Fits {
		t.Errorf("got %+v", p)
	}
	all[1].Stats = observe.ServerStats{PrefillTokens: 30000, InFlight: 1, ReservedTokens: 30000}
	if p := longPrompt(100).Pick(all); p.Index != 0 {
		t.Errorf("a note was sent to the engine with the long prefill: %+v", p)
	}
}

// Guards against sending requests to an engine whose memory is full. They would evict parts
// that others are about to use; such a request has to wait or go elsewhere.
func TestFullEngineDoesNotFit(t *testing.T) {
	all := engines(1)
	all[0].Stats = observe.ServerStats{InFlight: 3, ReservedTokens: 60000}
	if p := longPrompt(20000).Pick(all); p.Fits {
		t.Error("a request fits into full memory")
	}
	all[0].Stats = observe.ServerStats{InFlight: 12, ReservedTokens: 5000}
	if p := longPrompt(100).Pick(all); p.Fits {
		t.Error("a request fits though all slots are taken")
	}
	all[0].Stats = observe.ServerStats{}
	if p := longPrompt(79000).Pick(all); !p.Fits {
		t.Error("the largest request does not fit an idle engine")
	}
}

// Fetching a part from a store costs a fiftieth of its prefill.
func TestPartIsFetchedFromItsStore(t *testing.T) {
	e := longPrompt(13000)
	e.Parts[0].Copies = []Copy{
		{Address: "far", Zone: "z9", PerToken: 2 * time.Microsecond},
		{Address: "near", Zone: "z0", PerToken: 2 * time.Microsecond},
	}
	p := e.Pick(engines(1))
	if p.Sources != "sr" || p.Fetch[0] != "near" || p.PrefillTokens != 100 {
		t.Errorf("got %+v", p)
	}
	e.Holds = func(string, Part) bool { return true }
	if p := e.Pick(engines(1)); p.Sources != "mm" {
		t.Errorf("got %+v", p)
	}
}

// Eighty entries choose among ninety engines and learn of each other's choices a third of a
// second later. Guards against all of them choosing the engine that looks best, which would
// get all prompts of that time.
func TestManyEntriesSpread(t *testing.T) {
	all := engines(90)
	all[7].Stats.ReservedTokens = 0
	for i := range all {
		if i != 7 {
			all[i].Stats.InFlight = 2
		}
	}
	taken := map[int]int{}
	for i := range 80 {
		e := longPrompt(15000)
		e.Parts[0].ID = fmt.Sprint("p", i)
		e.Entries = 80
		e.Random = rand.New(rand.NewPCG(uint64(i), 1))
		taken[e.Pick(all).Index]++
	}
	if taken[7] > 20 {
		t.Errorf("%d of 80 went to one engine", taken[7])
	}
}

// Many fetches are queued at a store's link, most of them for engines in other zones, where
// each occupies the link twice as long. If they were counted once, the estimated wait would be
// half the real one, and prompts would join a queue in which all of them are late.
func TestLinkQueueCountsCrossZoneTransfers(t *testing.T) {
	// 100,000 tokens are queued; the link carries 300 per millisecond.
	const queued, perToken = 100_000, time.Second / 300_000
	e := longPrompt(13000)
	e.Parts[0].Copies = []Copy{{Address: "s", Zone: "z0", PerToken: perToken, QueuedTokens: queued}}
	wait := func(zones int) float64 {
		all := engines(4)
		for i := range all {
			all[i].Server.Zone = fmt.Sprint("z", i%zones)
		}
		loaded := e.Pick(all).CostMillis
		idle := e
		idle.Parts = slices.Clone(e.Parts)
		idle.Parts[0].Copies = []Copy{{Address: "s", Zone: "z0", PerToken: perToken}}
		return loaded - idle.Pick(all).CostMillis
	}
	for _, x := range []struct {
		zones  int
		millis float64
	}{{1, 333}, {2, 500}, {4, 583}} {
		if got := wait(x.zones); math.Abs(got-x.millis) > 1 {
			t.Errorf("%d zones: wait of %.0f ms, want %.0f", x.zones, got, x.millis)
		}
	}
}

// A third of ninety engines crash at the same moment and are back a second later. They look
// idle, so all prompts of that second would go to them: each of 86 entries would find out by
// itself, callers would be refused, and the fleet's retry budget would be used up. Two refused
// entries are enough for the others to avoid an engine.
func TestEnginesThatRefuseOthersAreEjected(t *testing.T) {
	all := engines(2)
	all[1].Stats = observe.ServerStats{InFlight: 6, ReservedTokens: 30000}
	for _, x := range []struct {
		refused  int
		answered time.Duration
		at       int
	}{{0, time.Minute, 0}, {1, time.Minute, 0}, {2, time.Minute, 1}, {9, 100 * time.Millisecond, 0}} {
		all[0].Stats = observe.ServerStats{RefusedBy: x.refused, RespondedAt: now.Add(-x.answered)}
		if p := longPrompt(100).Pick(all); p.Index != x.at {
			t.Errorf("%d entries refused, own response %s ago: engine %d", x.refused, x.answered, p.Index)
		}
	}
	if p := longPrompt(100).Pick(all[:1]); p.Index != 0 {
		t.Error("the only engine is not tried")
	}
}

// Seventy-three entries learn of each other's choices some tenths of a second late, and about
// two hundred prompts are sent in that time. If each entry evaluated many engines, most
// prompts would go to the few that looked best and wait there for seconds while others are
// free.
func TestManyEntriesDoNotOverloadOneEngine(t *testing.T) {
	const engines, entries, prompts = 67, 73, 200
	r := rand.New(rand.NewPCG(11, 11))
	all := make([]Candidate, engines)
	for i := range all {
		all[i] = Candidate{
			Server: directory.Server{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3), Address: fmt.Sprint("a", i), Slots: 64},
			Stats:  observe.ServerStats{InFlight: r.IntN(8), PrefillTokens: r.IntN(10_000), ReservedTokens: r.IntN(70_000)},
		}
	}
	got := map[int]int{}
	for i := range prompts {
		e := EnginePicker{
			Now: now, Zone: fmt.Sprint("z", i%3), Output: 400, Capacity: 95_000, Entries: entries, Random: r,
			Parts: []Part{{Salt: "m/1", ID: fmt.Sprint("own", i), Tokens: 3000}},
		}
		got[e.Pick(all).Index]++
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	if mean := float64(prompts) / engines; float64(most) > 4*mean {
		t.Errorf("one engine got %d of %d prompts, %.1f times the mean; %d got any", most, prompts, float64(most)/mean, len(got))
	}
}

// After all processes were killed, a thousand waiting prompts are sent at the same moment, all
// of them past their target. If they filled the engines, later prompts would find no capacity
// and miss their target too. Guards that a prompt that can still meet its target fits beside
// them, while another one past its target waits.
func TestPromptsPastTargetLeaveCapacity(t *testing.T) {
	all := engines(1)
	for _, x := range []struct {
		reserved, prefill  int
		inTime, pastTarget bool
	}{{20_000, 0, true, true}, {50_000, 0, true, false}, {20_000, 10_000, true, false}, {72_000, 0, false, false}} {
		all[0].Stats = observe.ServerStats{InFlight: 3, ReservedTokens: x.reserved, PrefillTokens: x.prefill}
		e := longPrompt(5000)
		if p := e.Pick(all); p.Fits != x.inTime {
			t.Errorf("%+v: fits %v", x, p.Fits)
		}
		e.PastTarget = true
		if p := e.Pick(all); p.Fits != x.pastTarget {
			t.Errorf("%+v: fits %v past its target", x, p.Fits)
		}
	}
}
