package choose

import (
	"math/rand/v2"
	"time"
)

const (
	// readRate is how many prompt tokens an engine is taken to read in a
	// millisecond; rather too few, so that a queue isn't taken for shorter than it is.
	readRate = 50.0
	// busyMillis is what a full engine costs in milliseconds: each step takes longer with each request in it.
	busyMillis = 120.0
	// againCost multiplies the time to read a shared part that was read elsewhere
	// before: the work is done twice.
	againCost = 3.0
	// moveCost multiplies the time of a move over a store's link: those behind it wait as long.
	moveCost = 2.0
	// farWeight and nearWeight say how often an engine is drawn that is neither
	// where the longest part lies nor in the entry's zone, or in the latter only. A
	// move between zones takes its link twice as long.
	farWeight  = 0.15
	nearWeight = 0.5
	// doubtfulWeight is so small that a silent engine is drawn only where no usable
	// one is left, and before those that are set aside.
	doubtfulWeight = 1e-9
	// homeMillis is what it costs to read a long part elsewhere than at its home
	// engine, at which entries meet that know of no copy: a prompt that comes while
	// another one reads the same part would have it read twice.
	homeMillis = 40.0
	// longPart is the size in tokens for which homeMillis holds.
	longPart = 12000.0
	// otherZoneMillis is what an engine in another availability zone costs in milliseconds, for the bytes between zones and the way.
	otherZoneMillis = 12.0
	// fullMillis is added to the cost of an engine that has no room, so that one with room is taken first.
	fullMillis = 1000.0
	// memoryMillis is the cost of a request that doesn't fit beside the others.
	memoryMillis = 400.0
	// roomShare is the part of an engine's memory that requests may hold. Beyond
	// it parts that others are about to use make room, and are read again.
	roomShare = 0.95
	// lateShare is the part of that room, and of the reading that may wait, which
	// prompts may use that are late already: the rest is for those that can be on time.
	lateShare = 0.6
	// mostReading is how many prompt tokens may wait to be read at an engine before
	// a request goes there: a quarter of a second's work. What waits longer waits
	// at the entry, where it can still go elsewhere. The request's own tokens don't
	// count, or the longest prompts would wait until an engine has nothing to read.
	mostReading = 12000
	// chunkTokens is how much of a prompt engines read between two steps of the
	// streams that run, and stepMillis what a step takes without it.
	chunkTokens = 4096
	stepMillis  = 7.0
	// pauseMargin is the part of the longest timely pause that reading may fill.
	pauseMargin = 0.9
	// latePauseMillis is what it costs in milliseconds to make one running stream
	// late by a pause.
	latePauseMillis = 60.0
	// fewEntries is up to how many entries each one weighs all engines. With more,
	// what they know of each other is older, and all would choose the same best one.
	fewEntries = 12
	// sampled is how many engines are drawn to choose from beyond that, besides
	// those that have a part of the prompt. All entries see the same old picture:
	// the more each weighs, the more of them find the same engine to be the best.
	sampled = 2
	// millisJitter spreads equal choices of many entries.
	millisJitter = 3.0
)

// Part is a piece of the prompt as the choice sees it.
type Part struct {
	// Salt and ID identify the part.
	Salt, ID string
	// Tokens is its size.
	Tokens int
	// Shared says that other prompts may have it too.
	Shared bool
	// Copies are the stores that have it whole.
	Copies []Copy
}

// Copy is a part in a store, or in the memory of an engine.
type Copy struct {
	// Server is the engine's ID, empty for a store.
	Server string
	// Address is its IP and port.
	Address string
	// Zone is its availability zone.
	Zone string
	// PerToken is how long a token takes over the store's link, Latency what each transfer waits.
	PerToken, Latency time.Duration
	// QueuedTokens is how many tokens all entries are having fetched from there.
	QueuedTokens int
}

// EnginePicker is a choice among the engines of a service.
type EnginePicker struct {
	// Now is the time of the decision.
	Now time.Time
	// Zone is the entry's availability zone.
	Zone string
	// Parts are the prompt's parts in their order, and Output the most tokens of the answer.
	Parts  []Part
	Output int
	// Capacity is an engine's memory in tokens.
	Capacity int
	// TokensPerEvent is how many tokens one event holds, and Gap the longest timely pause between events; zero for none.
	TokensPerEvent int
	EventGap       time.Duration
	// PastTarget says that the answer can't be on time any more.
	PastTarget bool
	// Entries is how many entries choose among the same engines.
	Entries int
	// Holds returns whether a server probably has a part in memory.
	Holds func(server string, p Part) bool
	// Random draws the jitter.
	Random *rand.Rand

	// crossing is how many times as long as within one zone the moves take that wait at a link.
	crossing float64
}

// crossing returns how many times as long as within one availability zone the
// moves take that wait at a store's link, when engines of all zones fetch there:
// a move between zones takes the link twice.
func crossing(all []Candidate) float64 {
	zones := map[string]bool{}
	for _, c := range all {
		zones[c.Server.Zone] = true
	}
	n := float64(max(1, len(zones)))
	return 1 + (n-1)/n
}

// Plan is a choice of an engine with where each part comes from.
type Plan struct {
	// Index is the index of the engine, -1 without candidates.
	Index int
	// CostMillis is the estimated cost in milliseconds.
	CostMillis float64
	// Fetch names the store of each part; empty for none.
	Fetch []string
	// PrefillTokens is how many tokens the engine has to read.
	PrefillTokens int
	// Fits says that the engine has room for the request now.
	Fits bool
	// FreeTokens is how many tokens are free at all engines that have room for the request, as far as the drawn ones tell.
	FreeTokens int
	// Sources says, part by part, where it comes from: m for the engine's memory, s for a store, e for another engine, r for reading it.
	Sources string
}

// Pick returns the plan with the lowest cost.
func (e EnginePicker) Pick(all []Candidate) Plan {
	e.crossing = crossing(all)
	homes := e.homes(all)
	drawn := e.draw(all, homes)
	plans := make([]Plan, len(drawn))
	some := make([]Candidate, len(drawn))
	for i, at := range drawn {
		some[i] = all[at]
	}
	at, millis := best(some, e.Now, func(i int) float64 {
		plans[i] = e.plan(some[i], homes)
		if !plans[i].Fits {
			return plans[i].CostMillis + fullMillis
		}
		return plans[i].CostMillis
	})
	if at < 0 {
		return Plan{Index: -1}
	}
	p := plans[at]
	p.Index, p.CostMillis = drawn[at], millis
	for i, x := range plans {
		if x.Fits {
			p.FreeTokens += e.free(some[i]) * len(all) / len(drawn)
		}
	}
	return p
}
