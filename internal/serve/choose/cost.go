package choose

// plan weighs one engine. A part is of use only if all parts before it are there.
func (e EnginePicker) plan(c Candidate, homes []string) Plan {
	p := Plan{Fetch: make([]string, len(e.Parts))}
	total, whole := 0, true
	for i, part := range e.Parts {
		total += part.Tokens
		switch {
		case whole && e.Holds != nil && e.Holds(c.Server.ID, part):
			// The engine moves nothing that it has; if it has lost the part, the copy spares reading it again.
			copied, _ := e.nearest(c, part)
			p.Fetch[i] = copied.Address
			p.Sources += "m"
		case whole && e.elsewhere(c, part):
			copied, millis := e.nearest(c, part)
			p.Fetch[i] = copied.Address
			p.CostMillis += millis
			p.Sources += from(copied)
		default:
			whole = false
			p.Sources += "r"
			p.PrefillTokens += part.Tokens
			p.CostMillis += e.reading(c, part, homes[i])
		}
	}
	p.CostMillis += e.waiting(c) + e.crowding(c, total) + e.disturbing(c, p.PrefillTokens)
	p.Fits = e.fits(c, total)
	if c.Server.Zone != e.Zone {
		p.CostMillis += otherZoneMillis
	}
	if e.Random != nil {
		p.CostMillis += millisJitter * e.Random.Float64()
	}
	return p
}

// elsewhere returns whether the part can be fetched.
func (e EnginePicker) elsewhere(c Candidate, part Part) bool {
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

func (e EnginePicker) reading(c Candidate, part Part, home string) float64 {
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
func (e EnginePicker) nearest(c Candidate, part Part) (Copy, float64) {
	found, lowest := Copy{}, 0.0
	for _, k := range part.Copies {
		if k.Server == c.Server.ID {
			continue
		}
		millis := moveCost * float64(part.Tokens) * k.PerToken.Seconds() * 1000
		if k.Zone != c.Server.Zone {
			millis *= 2
		}
		millis += k.Latency.Seconds()*1000 + e.crossing*float64(k.QueuedTokens)*k.PerToken.Seconds()*1000
		if found.Address == "" || millis < lowest {
			found, lowest = k, millis
		}
	}
	return found, lowest
}

// waiting returns how long the prompts before this one take.
func (e EnginePicker) waiting(c Candidate) float64 {
	return float64(c.Stats.PrefillTokens) / readRate
}

// crowding returns what the engine's other requests cost this one.
func (e EnginePicker) crowding(c Candidate, tokens int) float64 {
	millis := busyMillis * c.load(e.Now) / float64(max(1, c.Server.Slots))
	if e.Capacity > 0 && c.Stats.ReservedTokens+tokens+e.Output > e.Capacity {
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
func (e EnginePicker) disturbing(c Candidate, missing int) float64 {
	if e.EventGap <= 0 || e.TokensPerEvent <= 0 {
		return 0
	}
	limit := pauseMargin * float64(e.EventGap.Milliseconds())
	before, after := e.pause(c.Stats.PrefillTokens), e.pause(c.Stats.PrefillTokens+missing)
	switch {
	case before > limit:
		return latePauseMillis
	case after > limit:
		return latePauseMillis * float64(c.Stats.InFlight)
	}
	return 0
}

// pause returns how long an event takes while so many tokens are read, in milliseconds.
func (e EnginePicker) pause(reading int) float64 {
	read := float64(min(reading, e.TokensPerEvent*chunkTokens)) / readRate
	return read + float64(e.TokensPerEvent)*stepMillis
}

// fits returns whether the engine has room: slots, memory, and time to read.
// An engine without any request takes each one that can run at all.
func (e EnginePicker) fits(c Candidate, tokens int) bool {
	if c.Stats.InFlight == 0 {
		return true
	}
	return c.Stats.InFlight < c.Server.Slots &&
		tokens+e.Output <= e.free(c) &&
		float64(c.Stats.PrefillTokens) <= e.share()*mostReading
}

// share returns the part of an engine that the request may use.
//
// After a loss of all processes hundreds of prompts wait that are late, and go out
// together as soon as they can. If they filled the engines, everybody who comes in
// the next seconds would be late as well.
func (e EnginePicker) share() float64 {
	if e.PastTarget {
		return lateShare
	}
	return 1
}

// free returns how many tokens of the engine's memory such requests may still take.
func (e EnginePicker) free(c Candidate) int {
	return max(0, int(e.share()*roomShare*float64(e.Capacity))-c.Stats.ReservedTokens)
}
