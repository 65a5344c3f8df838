package choose

import (
	"math/rand/v2"
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
	// homeDiscount is the part of that surcharge which the part's home engine is
	// spared: entries that know of no copy meet at one engine.
	homeDiscount = 0.75
	// otherZoneMillis is what an engine in another availability zone costs in milliseconds, for the bytes between zones and the way.
	otherZoneMillis = 12.0
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
	plans := make([]Plan, len(all))
	at, millis := best(all, e.Now, func(i int) float64 {
		plans[i] = e.plan(all[i], homes)
		return plans[i].Millis
	})
	if at < 0 {
		return Plan{At: -1}
	}
	p := plans[at]
	p.At, p.Millis = at, millis
	return p
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
	p.Millis += e.waiting(c) + e.crowding(c, total)
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
	if c.Server.ID == home {
		return millis * (1 + (againCost-1)*(1-homeDiscount))
	}
	return millis * againCost
}

// nearest returns the copy that arrives first and how long it takes in milliseconds.
func (e Engine) nearest(c Candidate, part Part) (Copy, float64) {
	found, lowest := Copy{}, 0.0
	for _, k := range part.Copies {
		if k.Server == c.Server.ID {
			continue
		}
		millis := float64(part.Tokens) * k.PerToken.Seconds() * 1000
		if k.Zone != c.Server.Zone {
			millis *= 2
		}
		millis += k.First.Seconds() * 1000
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
