package choose

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readRate is how many prompt tokens an engine reads in a millisecond, a
	// little under what engines of today's sizes do, so that a queue isn't taken for shorter than it is.
	readRate = 50.0
	// busyMillis is what a full engine costs in milliseconds: each step takes longer with each request in it.
	busyMillis = 120.0
	// againCost multiplies the time to read a shared part that was read elsewhere
	// before: the work is done twice, and a move takes a fiftieth of it.
	againCost = 3.0
	// moveCost multiplies the time of a move over a store's link: those behind it
	// wait as long, and at the peak the links are more than half in use.
	moveCost = 2.0
	// farWeight and nearWeight say how often an engine is drawn that is neither
	// where the longest part lies nor in the entry's zone, or in the latter only. A
	// move between zones takes its link twice as long.
	farWeight  = 0.15
	nearWeight = 0.5
	// homeMillis is what it costs to read a long part elsewhere than at its home
	// engine, at which entries meet that know of no copy: one prompt in fifteen
	// comes while another one reads the same part, and would have it read twice.
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
	roomShare = 0.85
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
	// late by a pause: most of the worth of a short answer.
	latePauseMillis = 60.0
	// fewEntries is up to how many entries each one weighs all engines. With more,
	// what they know of each other is older, and all would choose the same best one.
	fewEntries = 12
	// sampled is how many engines are drawn to choose from beyond that, besides
	// those that have a part of the prompt.
	sampled = 8
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
	// PerToken is how long a token takes over the store's link, First what each transfer waits.
	PerToken, First time.Duration
	// Queued is how many tokens all entries are having fetched from there.
	Queued int
}

// Engine is a choice among the engines of a service.
type Engine struct {
	// Now is the time of the decision.
	Now time.Time
	// Zone is the entry's availability zone.
	Zone string
	// Parts are the prompt's parts in their order, and Output the most tokens of the answer.
	Parts  []Part
	Output int
	// Capacity is an engine's memory in tokens.
	Capacity int
	// Stride is how many tokens one event holds, and Gap the longest timely pause between events; zero for none.
	Stride int
	Gap    time.Duration
	// Entries is how many entries choose among the same engines.
	Entries int
	// Holds returns whether a server probably has a part in memory.
	Holds func(server string, p Part) bool
	// Random draws the jitter.
	Random *rand.Rand
}

// Plan is a choice of an engine with where each part comes from.
type Plan struct {
	// At is the index of the engine, -1 without candidates.
	At int
	// Millis is the estimated cost in milliseconds.
	Millis float64
	// Fetch names the store of each part; empty for none.
	Fetch []string
	// Missing is how many tokens the engine has to read.
	Missing int
	// Fits says that the engine has room for the request now.
	Fits bool
	// From says, part by part, where it comes from: m for the engine's memory, s for a store, e for another engine, r for reading it.
	From string
}

// Pick returns the plan with the lowest cost.
func (e Engine) Pick(all []Candidate) Plan {
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
			return plans[i].Millis + fullMillis
		}
		return plans[i].Millis
	})
	if at < 0 {
		return Plan{At: -1}
	}
	p := plans[at]
	p.At, p.Millis = drawn[at], millis
	return p
}

// draw returns the engines to weigh: all, or where many entries choose at the
// same time a few at random with those that have a part of the prompt.
//
// Entries hear of each other's choices some time later. If all went to the
// engine that looks best, it would be the worst one by then.
func (e Engine) draw(all []Candidate, homes []string) []int {
	drawn := make([]int, 0, len(all))
	if e.Entries <= fewEntries || len(all) <= sampled || e.Random == nil {
		for i := range all {
			drawn = append(drawn, i)
		}
		return drawn
	}
	wanted := e.wantedZone()
	weight := func(i int) float64 {
		switch {
		case e.special(all[i], homes):
			return math.Inf(1)
		case all[i].standing(e.Now) != usable:
			return 0
		case all[i].Server.Zone == wanted:
			return 1
		case all[i].Server.Zone == e.Zone:
			return nearWeight
		}
		return farWeight
	}
	type draw struct {
		at  int
		key float64
	}
	keys := make([]draw, len(all))
	for i := range all {
		w := weight(i)
		keys[i] = draw{i, math.Inf(-1)}
		if w > 0 {
			keys[i].key = math.Log(e.Random.Float64()) / w
		}
	}
	slices.SortFunc(keys, func(a, b draw) int { return cmp.Compare(b.key, a.key) })
	for i, k := range keys {
		if i >= sampled && k.key < 0 {
			break
		}
		drawn = append(drawn, k.at)
	}
	return drawn
}

// wantedZone returns the availability zone of the store that has the longest
// shared part, the entry's own where none has it.
func (e Engine) wantedZone() string {
	zone, longest := e.Zone, chunkTokens/2
	for _, p := range e.Parts {
		if len(p.Copies) > 0 && p.Copies[0].Server == "" && p.Tokens > longest {
			zone, longest = p.Copies[0].Zone, p.Tokens
		}
	}
	return zone
}

// special returns whether the engine has a large part of the prompt, or is where entries meet for one.
func (e Engine) special(c Candidate, homes []string) bool {
	for i, p := range e.Parts {
		if !p.Shared || p.Tokens < chunkTokens/2 {
			continue
		}
		if homes[i] == c.Server.ID || e.Holds != nil && e.Holds(c.Server.ID, p) {
			return true
		}
	}
	return false
}

// plan weighs one engine. A part is of use only if all parts before it are there.
func (e Engine) plan(c Candidate, homes []string) Plan {
	p := Plan{Fetch: make([]string, len(e.Parts))}
	total, whole := 0, true
	for i, part := range e.Parts {
		total += part.Tokens
		switch {
		case whole && e.Holds != nil && e.Holds(c.Server.ID, part):
			// The engine moves nothing that it has; if it has lost the part, the copy spares reading it again.
			copied, _ := e.nearest(c, part)
			p.Fetch[i] = copied.Address
			p.From += "m"
		case whole && e.elsewhere(c, part):
			copied, millis := e.nearest(c, part)
			p.Fetch[i] = copied.Address
			p.Millis += millis
			p.From += from(copied)
		default:
			whole = false
			p.From += "r"
			p.Missing += part.Tokens
			p.Millis += e.reading(c, part, homes[i])
		}
	}
	p.Millis += e.waiting(c) + e.crowding(c, total) + e.disturbing(c, p.Missing)
	p.Fits = e.fits(c, total)
	if c.Server.Zone != e.Zone {
		p.Millis += otherZoneMillis
	}
	if e.Random != nil {
		p.Millis += millisJitter * e.Random.Float64()
	}
	return p
}

// elsewhere returns whether the part can be fetched.
func (e Engine) elsewhere(c Candidate, part Part) bool {
	for _, k := range part.Copies {
		if k.Server != c.Server.ID {
			return true
		}
	}
	return false
}

// from returns the letter for a part that is fetched.
func from(k Copy) string {
	if k.Server != "" {
		return "e"
	}
	return "s"
}

func (e Engine) reading(c Candidate, part Part, home string) float64 {
	millis := float64(part.Tokens) / readRate
	if !part.Shared {
		return millis
	}
	millis *= againCost
	if c.Server.ID != home {
		millis += homeMillis * min(1, float64(part.Tokens)/longPart)
	}
	return millis
}

// nearest returns the copy that arrives first and how long it takes in milliseconds.
func (e Engine) nearest(c Candidate, part Part) (Copy, float64) {
	found, lowest := Copy{}, 0.0
	for _, k := range part.Copies {
		if k.Server == c.Server.ID {
			continue
		}
		millis := moveCost * float64(part.Tokens) * k.PerToken.Seconds() * 1000
		if k.Zone != c.Server.Zone {
			millis *= 2
		}
		millis += k.First.Seconds()*1000 + float64(k.Queued)*k.PerToken.Seconds()*1000
		if found.Address == "" || millis < lowest {
			found, lowest = k, millis
		}
	}
	return found, lowest
}

// waiting returns how long the prompts before this one take.
func (e Engine) waiting(c Candidate) float64 {
	return float64(c.Track.Reading) / readRate
}

// crowding returns what the engine's other requests cost this one.
func (e Engine) crowding(c Candidate, tokens int) float64 {
	millis := busyMillis * c.load(e.Now) / float64(max(1, c.Server.Slots))
	if e.Capacity > 0 && c.Track.Held+tokens+e.Output > e.Capacity {
		millis += memoryMillis
	}
	return millis
}

// disturbing returns what the pauses cost that reading puts into the streams at
// the engine, this one's own among them.
//
// An engine reads a chunk of a prompt between two steps. While it reads a long
// prompt, each event waits for as many chunks as it has tokens, and when that is
// longer than a timely pause every stream there is late.
func (e Engine) disturbing(c Candidate, missing int) float64 {
	if e.Gap <= 0 || e.Stride <= 0 {
		return 0
	}
	limit := pauseMargin * float64(e.Gap.Milliseconds())
	before, after := e.pause(c.Track.Reading), e.pause(c.Track.Reading+missing)
	switch {
	case before > limit:
		return latePauseMillis
	case after > limit:
		return latePauseMillis * float64(c.Track.InFlight)
	}
	return 0
}

// pause returns how long an event takes while so many tokens are read, in milliseconds.
func (e Engine) pause(reading int) float64 {
	read := float64(min(reading, e.Stride*chunkTokens)) / readRate
	return read + float64(e.Stride)*stepMillis
}

// fits returns whether the engine has room: slots, memory, and time to read.
// An engine without any request takes each one that can run at all.
func (e Engine) fits(c Candidate, tokens int) bool {
	if c.Track.InFlight == 0 {
		return true
	}
	return c.Track.InFlight < c.Server.Slots &&
		c.Track.Held+tokens+e.Output <= int(roomShare*float64(e.Capacity)) &&
		c.Track.Reading <= mostReading
}

// homes returns, for each part, the engine at which entries meet that know of no copy.
func (e Engine) homes(all []Candidate) []string {
	homes := make([]string, len(e.Parts))
	for i, p := range e.Parts {
		if !p.Shared || len(p.Copies) > 0 {
			continue
		}
		highest := uint64(0)
		for _, c := range all {
			if c.standing(e.Now) != usable {
				continue
			}
			if h := xxhash.Sum64String(c.Server.ID + "\x00" + p.Salt + "\x00" + p.ID); h >= highest {
				homes[i], highest = c.Server.ID, h
			}
		}
	}
	return homes
}
