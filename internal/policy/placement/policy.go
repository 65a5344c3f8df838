package placement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"hornbeamwood/internal/policy/route"
)

// tokensPerPrice is the number of tokens that rules.Rules.RecomputePrice applies to.
const tokensPerPrice = 1000

// diskReuseThreshold is the reuse probability below which a piece goes to disk, so that rarely
// reused prompts do not evict frequently reused ones.
const diskReuseThreshold = 0.3

// Decide returns the exports for in.
func Decide(in Input) Decision {
	if !in.Rules.CacheExport {
		return Decision{Reason: NotAllowed}
	}
	if !reachable(in.Stores) {
		return Decision{Reason: NoStore}
	}
	d := Decision{Reason: Stored}
	for i := range in.Pieces {
		if in.Pieces[i].Stored {
			continue
		}
		e := newExport(&in, i)
		if e.Worth > 0 {
			d.Exports = append(d.Exports, e)
		}
		d.Reason = NotWorthTheLink
	}
	if len(d.Exports) > 0 {
		d.Reason = WorthTheLink
	}
	return d
}

func reachable(stores []Store) bool {
	for i := range stores {
		if usable(&stores[i]) {
			return true
		}
	}
	return false
}

func usable(s *Store) bool {
	return !s.Lost && s.LinkRate > 0
}

// newExport returns the export of piece i with its store, tier and worth.
func newExport(in *Input, i int) Export {
	p := &in.Pieces[i]
	e := Export{Piece: i, Store: Place(p.Key, in.Stores)}
	e.Tier = tier(in.ReuseProbability, p, &in.Stores[e.Store])
	e.Worth = worth(in, p, &in.Stores[e.Store])
	return e
}

// worth returns the net gain per link second: the saving by the expected reuse minus the cost of
// both transfers. The price of the link grows with its backlog, because each transfer delays those
// behind it.
func worth(in *Input, p *Piece, s *Store) float64 {
	link := float64(p.Bytes) / s.LinkRate
	saved := in.Rules.RecomputePrice*float64(p.Tokens)/tokensPerPrice +
		in.Rules.FirstTokenPrice*max(float64(p.Tokens)/max(in.PrefillRate, 1)-link, 0)
	price := in.Rules.LinkPrice * (1 + s.Backlog) * link * (1 + in.ReuseProbability)
	return (in.ReuseProbability*saved - price) / link
}

func tier(reuse float64, p *Piece, s *Store) route.Tier {
	if reuse < diskReuseThreshold && s.Disk >= p.Bytes && s.FreeMemory < p.Bytes {
		return route.Disk
	}
	return route.Memory
}

// Place returns the index of the store for a key by rendezvous hashing, weighted by the size of the
// stores. When a store is lost, only its own keys move. When it returns with an empty cache, it
// gets its share back and no key moves between the other stores.
func Place(key uint64, stores []Store) int {
	best, highest := route.None, math.Inf(-1)
	for i := range stores {
		if !usable(&stores[i]) {
			continue
		}
		if score := score(key, &stores[i]); score > highest {
			best, highest = i, score
		}
	}
	return best
}

// score is the logarithmic form of weighted rendezvous hashing.
func score(key uint64, s *Store) float64 {
	b := make([]byte, 8, 8+len(s.Identity))
	binary.LittleEndian.PutUint64(b, key)
	h := xxhash.Sum64(append(b, s.Identity...))
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -sizeWeight(s) / math.Log(unit)
}

// sizeWeight returns the weight of a store: its total size rather than its free space, because a
// full store evicts pieces.
func sizeWeight(s *Store) float64 {
	return max(float64(s.Memory+s.Disk), 1)
}
