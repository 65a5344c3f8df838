package siteentry

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/stores"
)

// placement returns the stores in the order in which they are tried for the part.
//
// Short parts go to fast stores first, by a hash weighted by capacity. Long parts are weighted by link rate. If
// all of them went to the larger, slower stores, their links would be saturated while the links of the fast
// stores are idle.
func placement(all []document.Store, p stores.Part, tokens int) []document.Store {
	type scored struct {
		store document.Store
		suits bool
		score float64
	}
	list := make([]scored, 0, len(all))
	for _, x := range all {
		h := xxhash.Sum64String(x.Address + "\x00" + p.Salt + "\x00" + p.ID)
		u := (float64(h>>11) + 0.5) / (1 << 53)
		small := tokens < smallPartTokens
		weight := x.LinkRate
		if small || weight <= 0 {
			weight = float64(x.CapacityTokens)
		}
		list = append(list, scored{x, !small || x.Latency <= fastStoreLatency, rendezvous(u, weight)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		switch {
		case a.suits != b.suits && a.suits:
			return -1
		case a.suits != b.suits:
			return 1
		case a.score > b.score:
			return -1
		}
		return 1
	})
	ordered := make([]document.Store, len(list))
	for i, x := range list {
		ordered[i] = x.store
	}
	return ordered
}
