package choose

// plan estimates the cost of one engine. A cached part is usable only if all parts before it
// are available too.
func (e EnginePicker) plan(c Candidate, rendezvous []string) Plan {
	p := Plan{Fetch: make([]string, len(e.Parts))}
	total, contiguous := 0, true
	for i, part := range e.Parts {
		total += part.Tokens
		switch {
		case contiguous && e.Holds != nil && e.Holds(c.Server.ID, part):
			// The engine transfers nothing that it still holds. If it has evicted the part, the copy
			// avoids another prefill.
			copied, _ := e.fastestCopy(c, part)
			p.Fetch[i] = copied.Address
			p.Sources += "m"
		case contiguous && e.fetchable(c, part):
			copied, millis := e.fastestCopy(c, part)
			p.Fetch[i] = copied.Address
			p.CostMillis += millis
			p.Sources += sourceLetter(copied)
		default:
			contiguous = false
			p.Sources += "r"
			p.PrefillTokens += part.Tokens
			p.CostMillis += e.prefillMillis(c, part, rendezvous[i])
		}
	}
	p.CostMillis += e.queueMillis(c) + e.loadMillis(c, total) + e.lateStreamCost(c, p.PrefillTokens)
	p.Fits = e.fits(c, total)
	if c.Server.Zone != e.Zone {
		p.CostMillis += crossZoneMillis
	}
	if e.Random != nil {
		p.CostMillis += jitterMillis * e.Random.Float64()
	}
	return p
}

// fetchable returns whether the part can be fetched from a store or another engine.
func (e EnginePicker) fetchable(c Candidate, part Part) bool {
	for _, k := range part.Copies {
		if k.Server != c.Server.ID {
			return true
		}
	}
	return false
}

// sourceLetter returns the letter in Plan.Sources for a fetched part.
func sourceLetter(k Copy) string {
	if k.Server != "" {
		return "e"
	}
	return "s"
}

func (e EnginePicker) prefillMillis(c Candidate, part Part, rendezvous string) float64 {
	millis := e.slowness(c) * float64(part.Tokens) / prefillRate
	if !part.Shared {
		return millis
	}
	millis *= recomputeFactor
	if c.Server.ID != rendezvous {
		millis += rendezvousMissMillis * min(1, float64(part.Tokens)/longPartTokens)
	}
	return millis
}

// fastestCopy returns the copy that arrives first and its transfer time in milliseconds.
func (e EnginePicker) fastestCopy(c Candidate, part Part) (Copy, float64) {
	found, lowest := Copy{}, 0.0
	for _, k := range part.Copies {
		if k.Server == c.Server.ID {
			continue
		}
		millis := transferFactor * float64(part.Tokens) * k.PerToken.Seconds() * 1000
		if k.Zone != c.Server.Zone {
			millis *= 2
		}
		millis += k.Latency.Seconds()*1000 + e.crossZoneFactor*float64(k.QueuedTokens)*k.PerToken.Seconds()*1000
		if found.Address == "" || millis < lowest {
			found, lowest = k, millis
		}
	}
	return found, lowest
}

// queueMillis returns how long the prefill of the prompts already queued takes.
func (e EnginePicker) queueMillis(c Candidate) float64 {
	return e.slowness(c) * float64(c.Stats.PrefillTokens) / prefillRate
}

// loadMillis returns the cost of sharing the engine with its other requests.
func (e EnginePicker) loadMillis(c Candidate, tokens int) float64 {
	millis := fullLoadMillis * c.load(e.Now) / float64(max(1, c.Server.Slots))
	if e.Capacity > 0 && c.Stats.ReservedTokens+tokens+e.Output > e.Capacity {
		millis += memoryPressureMillis
	}
	return millis
}

// lateStreamCost returns the cost of the event gaps that the prefill causes in the streams at
// the engine, including this request's own.
//
// An engine prefills one chunk of a prompt between two decode steps. During the prefill of a
// long prompt each event waits for as many chunks as it has tokens. If that exceeds the event
// gap target, every stream on the engine is late.
func (e EnginePicker) lateStreamCost(c Candidate, missing int) float64 {
	if e.EventGap <= 0 || e.TokensPerEvent <= 0 {
		return 0
	}
	limit := eventGapMargin * float64(e.EventGap.Milliseconds())
	slowness := e.slowness(c)
	before, after := slowness*e.eventMillis(c.Stats.PrefillTokens), slowness*e.eventMillis(c.Stats.PrefillTokens+missing)
	switch {
	case before > limit:
		return lateStreamMillis
	case after > limit:
		return lateStreamMillis * float64(c.Stats.InFlight)
	}
	return 0
}

// eventMillis returns how long an event takes, in milliseconds, while that many tokens are
// being prefilled.
func (e EnginePicker) eventMillis(prefillTokens int) float64 {
	prefill := float64(min(prefillTokens, e.TokensPerEvent*prefillChunkTokens)) / prefillRate
	return prefill + float64(e.TokensPerEvent)*decodeStepMillis
}

// fits returns whether the engine has capacity for the request: a slot, memory and prefill
// time. An idle engine accepts every request that can run at all.
func (e EnginePicker) fits(c Candidate, tokens int) bool {
	if c.Stats.InFlight == 0 {
		return true
	}
	return c.Stats.InFlight < c.Server.Slots &&
		tokens+e.Output <= e.freeTokens(c) &&
		float64(c.Stats.PrefillTokens) <= e.usableShare()*maxQueuedPrefill
}

// usableShare returns the share of an engine that the request may use.
//
// After all processes were lost, hundreds of requests are past their target and are sent as
// soon as possible. If they filled the engines, all requests of the next seconds would miss
// their target as well.
func (e EnginePicker) usableShare() float64 {
	if e.PastTarget {
		return pastTargetShare
	}
	return 1
}

// freeTokens returns how many tokens of the engine's memory such requests may still reserve.
func (e EnginePicker) freeTokens(c Candidate) int {
	return max(0, int(e.usableShare()*memoryShare*float64(e.Capacity))-c.Stats.ReservedTokens)
}
