package choose

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sample returns the indices of the engines to evaluate. These are all engines or, when many
// entries choose at the same time, a small random sample together with the engines that hold a
// part of the prompt.
//
// Entries learn of each other's choices with a delay. If all of them chose the engine that
// looks best, it would be the most loaded one by then.
func (e EnginePicker) sample(all []Candidate, rendezvous []string) []int {
	sample := make([]int, 0, len(all))
	if e.Entries <= maxEntriesWithoutSampling || len(all) <= sampleSize || e.Random == nil {
		for i := range all {
			sample = append(sample, i)
		}
		return sample
	}
	preferred, size := e.preferredZone(), e.sampleSize()
	weight := func(i int) float64 {
		switch {
		case e.preferred(all[i], rendezvous):
			return math.Inf(1)
		case all[i].health(e.Now) == ejected:
			return 0
		case all[i].health(e.Now) != usable:
			return suspectWeight
		case all[i].Server.Zone == preferred:
			return 1
		case all[i].Server.Zone == e.Zone:
			return entryZoneWeight
		}
		return otherZoneWeight
	}
	type sampleKey struct {
		at  int
		key float64
	}
	keys := make([]sampleKey, len(all))
	for i := range all {
		w := weight(i)
		keys[i] = sampleKey{i, math.Inf(-1)}
		if w > 0 {
			keys[i].key = math.Log(e.Random.Float64()) / w
		}
	}
	slices.SortFunc(keys, func(a, b sampleKey) int { return cmp.Compare(b.key, a.key) })
	for i, k := range keys {
		if i >= size && k.key < 0 {
			break
		}
		sample = append(sample, k.at)
	}
	return sample
}

// sampleSize returns how many engines are sampled besides the preferred ones.
//
// A long prefill takes most of its target, so the speed and the queue of its engine decide whether
// it is late. Such prompts are few, so that other entries seldom choose the same engine meanwhile.
func (e EnginePicker) sampleSize() int {
	prefill := 0
	for _, p := range e.Parts {
		if len(p.Copies) == 0 {
			prefill += p.Tokens
		}
	}
	if prefill >= longPrefillTokens {
		return longSampleSize
	}
	return sampleSize
}

// preferredZone returns the availability zone of the store that has the longest shared part, or
// the entry's own zone if no store has one.
func (e EnginePicker) preferredZone() string {
	zone, longest := e.Zone, prefillChunkTokens/2
	for _, p := range e.Parts {
		if len(p.Copies) > 0 && p.Copies[0].Server == "" && p.Tokens > longest {
			zone, longest = p.Copies[0].Zone, p.Tokens
		}
	}
	return zone
}

// preferred returns whether the engine holds a large part of the prompt or is the rendezvous
// engine of one.
func (e EnginePicker) preferred(c Candidate, rendezvous []string) bool {
	for i, p := range e.Parts {
		if !p.Shared || p.Tokens < prefillChunkTokens/2 {
			continue
		}
		if rendezvous[i] == c.Server.ID || e.Holds != nil && e.Holds(c.Server.ID, p) {
			return true
		}
	}
	return false
}

// rendezvousEngines returns, for each part, the engine that all entries choose by rendezvous
// hashing while no copy of the part is known.
func (e EnginePicker) rendezvousEngines(all []Candidate) []string {
	rendezvous := make([]string, len(e.Parts))
	for i, p := range e.Parts {
		if !p.Shared || len(p.Copies) > 0 {
			continue
		}
		highest := uint64(0)
		for _, c := range all {
			if c.health(e.Now) != usable {
				continue
			}
			if h := xxhash.Sum64String(c.Server.ID + "\x00" + p.Salt + "\x00" + p.ID); h >= highest {
				rendezvous[i], highest = c.Server.ID, h
			}
		}
	}
	return rendezvous
}
