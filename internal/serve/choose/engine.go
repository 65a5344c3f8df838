package choose

import (
	"math/rand/v2"
	"time"
)

const (
	// prefillRate is the assumed prefill rate of an engine in tokens per millisecond. It is a low
	// estimate, so that the length of a queue is not underestimated.
	prefillRate = 50.0
	// fullLoadMillis is the cost of a fully loaded engine in milliseconds: each decode step takes
	// longer with every running request.
	fullLoadMillis = 120.0
	// recomputeFactor multiplies the prefill time of a shared part that was prefilled elsewhere
	// before, because the work is done twice.
	recomputeFactor = 3.0
	// transferFactor multiplies the transfer time over a store's link, because the transfers
	// queued behind it wait as long.
	transferFactor = 2.0
	// otherZoneWeight and entryZoneWeight are the sampling weights of engines outside the zone of
	// the longest part: entryZoneWeight for those in the entry's own zone, otherZoneWeight for the
	// rest. A transfer between zones occupies its link twice as long.
	otherZoneWeight = 0.15
	entryZoneWeight = 0.5
	// suspectWeight is so small that a suspect engine is sampled only if no usable one is left,
	// and before any ejected one.
	suspectWeight = 1e-9
	// rendezvousMissMillis is the cost of the prefill of a long part at an engine other than its
	// rendezvous engine, which all entries choose while no copy is known. Without it, concurrent
	// prompts with the same part would have it prefilled twice.
	rendezvousMissMillis = 40.0
	// longPartTokens is the part size to which rendezvousMissMillis applies in full.
	longPartTokens = 12000.0
	// crossZoneMillis is the cost in milliseconds of an engine in another availability zone, for
	// the traffic between zones and the latency.
	crossZoneMillis = 12.0
	// noCapacityMillis is added to the cost of an engine without capacity, so that engines with
	// capacity are preferred.
	noCapacityMillis = 1000.0
	// memoryPressureMillis is the cost of a request that does not fit into the engine's memory
	// beside the others.
	memoryPressureMillis = 400.0
	// memoryShare is the share of an engine's memory that requests may reserve. Beyond it, parts
	// that others are about to use are evicted and must be prefilled again.
	memoryShare = 0.95
	// pastTargetShare is the share of the memory and of the prefill queue that requests past their
	// target may use. The rest is kept for requests that can still meet it.
	pastTargetShare = 0.6
	// maxQueuedPrefill is how many prompt tokens may be queued for prefill at an engine before a
	// request is sent there, a quarter of a second's work. Further requests wait at the entry,
	// where they can still be sent to another engine. The request's own tokens do not count, or
	// the longest prompts would wait until an engine has nothing to prefill.
	maxQueuedPrefill = 12000
	// prefillChunkTokens is how much of a prompt engines prefill between two decode steps of the
	// running streams. decodeStepMillis is the duration of a step without prefill.
	prefillChunkTokens = 4096
	decodeStepMillis   = 7.0
	// eventGapMargin is the share of the event gap target that prefill may fill.
	eventGapMargin = 0.9
	// lateStreamMillis is the cost in milliseconds of making one running stream exceed its event
	// gap target.
	lateStreamMillis = 60.0
	// maxEntriesWithoutSampling is the number of entries up to which each entry evaluates all
	// engines. With more entries, what they know of each other is older, and all would choose the
	// same best engine.
	maxEntriesWithoutSampling = 12
	// sampleSize is how many engines are sampled beyond that, besides those that hold a part of
	// the prompt. All entries see the same outdated loads: the more engines each entry evaluates,
	// the more entries choose the same one.
	sampleSize = 2
	// longSampleSize is how many are sampled for prompts of which longPrefillTokens or more are cached nowhere.
	longSampleSize    = 6
	longPrefillTokens = 4 * prefillChunkTokens
	// jitterMillis spreads equal choices of many entries.
	jitterMillis = 3.0
)

// Part is a part of the prompt as seen by the picker.
type Part struct {
	// Salt and ID identify the part.
	Salt, ID string
	// Tokens is the size of the part.
	Tokens int
	// Shared is set if other prompts may contain the part too.
	Shared bool
	// Copies are the stores and engines that hold the complete part.
	Copies []Copy
}

// Copy is a part held by a store or in the memory of an engine.
type Copy struct {
	// Server is the engine's ID, empty for a store.
	Server string
	// Address is its IP address and port.
	Address string
	// Zone is its availability zone.
	Zone string
	// PerToken is the transfer time of a token over the link, Latency the fixed delay of each
	// transfer.
	PerToken, Latency time.Duration
	// QueuedTokens is how many tokens all entries are currently having fetched from there.
	QueuedTokens int
}

// EnginePicker selects an engine of a service for one request.
type EnginePicker struct {
	// Now is the time of the decision.
	Now time.Time
	// Zone is the entry's availability zone.
	Zone string
	// Parts are the prompt's parts in order, and Output the maximum number of tokens in the
	// response.
	Parts  []Part
	Output int
	// Capacity is an engine's memory in tokens.
	Capacity int
	// TokensPerEvent is the number of tokens in one event, and EventGap the longest gap between
	// events that meets the target; zero for none.
	TokensPerEvent int
	EventGap       time.Duration
	// PastTarget is set if the response can no longer meet its latency target.
	PastTarget bool
	// Entries is how many entries choose among the same engines.
	Entries int
	// Holds returns whether a server probably holds a part in memory.
	Holds func(server string, p Part) bool
	// Random is the source of the jitter and of the sample.
	Random *rand.Rand

	// crossZoneFactor is the average duration of the transfers queued at a link, relative to a
	// transfer within one zone.
	crossZoneFactor float64
	// medianGap is the median event gap of the engines.
	medianGap time.Duration
}

// crossZoneFactor returns the average duration of the transfers queued at a store's link,
// relative to a transfer within one availability zone, when engines of all zones fetch there.
// A transfer between zones occupies the link twice as long.
func crossZoneFactor(all []Candidate) float64 {
	zones := map[string]bool{}
	for _, c := range all {
		zones[c.Server.Zone] = true
	}
	n := float64(max(1, len(zones)))
	return 1 + (n-1)/n
}

// Plan is a chosen engine and the source of each part.
type Plan struct {
	// Index is the index of the engine, -1 without candidates.
	Index int
	// CostMillis is the estimated cost in milliseconds.
	CostMillis float64
	// Fetch is the address from which each part is fetched; empty for none.
	Fetch []string
	// PrefillTokens is how many tokens the engine has to prefill.
	PrefillTokens int
	// Fits is set if the engine has capacity for the request now.
	Fits bool
	// FreeTokens is the estimated number of free tokens at all engines with capacity for the
	// request, extrapolated from the sample.
	FreeTokens int
	// Sources holds one letter for each part: m for the engine's memory, s for a store, e for
	// another engine, r for prefill.
	Sources string
}

// Pick returns the plan with the lowest cost.
func (e EnginePicker) Pick(all []Candidate) Plan {
	e.crossZoneFactor, e.medianGap = crossZoneFactor(all), medianEventGap(all)
	rendezvous := e.rendezvousEngines(all)
	sample := e.sample(all, rendezvous)
	plans := make([]Plan, len(sample))
	sampled := make([]Candidate, len(sample))
	for i, at := range sample {
		sampled[i] = all[at]
	}
	at, millis := best(sampled, e.Now, func(i int) float64 {
		plans[i] = e.plan(sampled[i], rendezvous)
		if !plans[i].Fits {
			return plans[i].CostMillis + noCapacityMillis
		}
		return plans[i].CostMillis
	})
	if at < 0 {
		return Plan{Index: -1}
	}
	p := plans[at]
	p.Index, p.CostMillis = sample[at], millis
	for i, x := range plans {
		if x.Fits {
			p.FreeTokens += e.freeTokens(sampled[i]) * len(all) / len(sample)
		}
	}
	return p
}
