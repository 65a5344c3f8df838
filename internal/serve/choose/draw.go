package choose

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// draw returns the engines to weigh: all, or where many entries choose at the
// same time a few at random with those that have a part of the prompt.
//
// Entries hear of each other's choices some time later. If all went to the
// engine that looks best, it would be the worst one by then.
func (e EnginePicker) draw(all []Candidate, homes []string) []int {
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
		case all[i].standing(e.Now) == aside:
			return 0
		case all[i].standing(e.Now) != usable:
			return doubtfulWeight
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
func (e EnginePicker) wantedZone() string {
	zone, longest := e.Zone, chunkTokens/2
	for _, p := range e.Parts {
		if len(p.Copies) > 0 && p.Copies[0].Server == "" && p.Tokens > longest {
			zone, longest = p.Copies[0].Zone, p.Tokens
		}
	}
	return zone
}

// special returns whether the engine has a large part of the prompt, or is where entries meet for one.
func (e EnginePicker) special(c Candidate, homes []string) bool {
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

// homes returns, for each part, the engine at which entries meet that know of no copy.
func (e EnginePicker) homes(all []Candidate) []string {
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
