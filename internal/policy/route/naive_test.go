package route

import "slices"

// naive computes the estimate of one candidate by brute force: it evaluates each split from
// scratch.
func naive(r *Request, c *Cell, s int) Estimate {
	var best Estimate
	for split := 0; split <= len(r.Pieces); split++ {
		e := naiveSplit(r, c, s, split)
		if split == 0 || e.Cost < best.Cost {
			best = e
		}
	}
	return best
}

func naiveSplit(r *Request, c *Cell, s, split int) Estimate {
	x := &c.Candidates[s]
	e := Estimate{Server: s, Split: split, Wait: naiveWait(r, x)}
	compute := float64(r.Tail())
	link := make([]float64, len(c.Stores))
	disk := make([]float64, len(c.Stores))
	for i, p := range r.Pieces {
		if slices.Contains(p.Engines, s) {
			continue
		}
		from, ok := naiveCopy(c, p)
		if i >= split || !ok {
			e.Recomputed += p.Tokens
			compute += float64(p.Tokens)
			continue
		}
		store := c.Stores[from.Store]
		link[from.Store] += float64(p.Bytes)
		e.LinkDelay += naiveDelay(store, from, p)
		e.LinkSeconds += float64(p.Bytes) / store.LinkRate
		e.Import = max(e.Import, (float64(store.LinkQueued)+link[from.Store])/store.LinkRate)
		if from.Tier == Disk {
			disk[from.Store] += float64(p.Bytes)
			e.Import = max(e.Import, (float64(store.DiskQueued)+disk[from.Store])/store.DiskRate)
		}
	}
	e.Compute = compute / x.Load.PrefillRate
	e.TTFT = max(e.Wait, e.Import) + e.Compute
	e.Cost = naiveCost(r, c, x, &e)
	return e
}

func naiveCost(r *Request, c *Cell, x *Candidate, e *Estimate) float64 {
	cost := r.Rules.FirstTokenPrice * e.TTFT
	cost += r.Rules.RecomputePrice * float64(e.Recomputed) / 1000
	cost += r.Rules.LinkPrice * e.LinkSeconds
	cost += r.Rules.LinkPrice * e.LinkDelay
	if x.Reserve && r.Rules.Priority < UrgentBand {
		cost += naiveMinGain(c, x) * r.Rules.FirstTokenPrice
	}
	return cost
}

// naiveRank returns the rank of x: MaybeLost for a server that may be lost, Reserved for one of the
// last half of the reserve without long work.
func naiveRank(r *Request, c *Cell, x *Candidate) Rank {
	if x.Suspect || x.Exclusive {
		return MaybeLost
	}
	if !x.Reserve || r.Rules.Priority >= UrgentBand || naiveHasLongWork(*x) {
		return Preferred
	}
	reserve, free := 0, 0
	for _, y := range c.Candidates {
		if y.Reserve {
			reserve++
		}
		if y.Reserve && !naiveHasLongWork(y) {
			free++
		}
	}
	if free <= reserve/2 {
		return Reserved
	}
	return Preferred
}

// naiveMinGain returns the time in seconds that a request must save to use the reserve server x.
func naiveMinGain(c *Cell, x *Candidate) float64 {
	factor := 1.0
	for _, y := range c.Candidates {
		if y.Reserve && naiveHasLongWork(y) {
			factor++
		}
	}
	if naiveHasLongWork(*x) {
		return reserveMinGain
	}
	return reserveMinGain * factor * factor
}

func naiveHasLongWork(x Candidate) bool {
	for b := range UrgentBand {
		if x.InFlight.Requests[b] > 0 {
			return true
		}
	}
	return false
}

// naiveDelay returns the transfer time of a piece multiplied by the seconds of transfers queued
// ahead.
func naiveDelay(s Store, from Copy, p Piece) float64 {
	link, ahead := float64(p.Bytes)/s.LinkRate, float64(s.LinkQueued)/s.LinkRate
	if from.Tier == Memory {
		return link * ahead
	}
	disk := float64(p.Bytes) / s.DiskRate
	return max(link, disk) * max(ahead, float64(s.DiskQueued)/s.DiskRate)
}

func naiveWait(r *Request, x *Candidate) float64 {
	var since, all, before float64
	for b := range Bands {
		since += float64(x.SentSinceReport.Tokens[b])
		all += float64(x.InFlight.Tokens[b])
		if b >= r.Rules.Priority {
			before += float64(x.InFlight.Tokens[b])
		}
	}
	rate := x.Load.PrefillRate
	queued := max(float64(x.Load.QueuedTokens)/rate-start.Sub(x.ReportedAt).Seconds(), 0) + since/rate
	wait := queued
	if x.PriorityAware && all > 0 && queued > 0 {
		wait = min(queued, max(queued*before/all, min(chunkTokens/rate, queued)))
	}
	return wait
}

// naiveCopy returns the copy that would arrive first if it were the only transfer.
func naiveCopy(c *Cell, p Piece) (Copy, bool) {
	var best Copy
	found, at := false, 0.0
	for _, x := range p.Copies {
		s := c.Stores[x.Store]
		if s.LinkRate == 0 || (x.Tier == Disk && s.DiskRate == 0) {
			continue
		}
		t := (float64(s.LinkQueued) + float64(p.Bytes)) / s.LinkRate
		if x.Tier == Disk {
			t = max(t, (float64(s.DiskQueued)+float64(p.Bytes))/s.DiskRate)
		}
		if !found || t < at {
			best, found, at = x, true, t
		}
	}
	return best, found
}
