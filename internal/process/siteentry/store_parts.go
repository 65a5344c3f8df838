package siteentry

import (
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
)

func (h *holderState) applyPart(r rowtable.Row) error {
	p, err := stores.ParsePartLocation(r.Key)
	if err != nil {
		return err
	}
	if len(r.Value) == 0 {
		h.remove(p)
		return nil
	}
	return decodeRow(r, func(tokens int) { h.add(p, tokens) })
}

// applyStoreSummary applies a summary of a store's listing.
func (h *holderState) applyStoreSummary(s topic.StoreSummary) {
	store := stores.ShortAddress(s.Address)
	if s.ReplacesEarlier && h.usedTokens[store] > 0 {
		for part, held := range h.parts {
			if _, ok := held[store]; ok {
				h.remove(stores.PartLocation{Store: store, Part: part})
			}
		}
	}
	for i := range min(len(s.Parts), len(s.Tokens)) {
		h.add(stores.PartLocation{Store: store, Part: s.Parts[i]}, int(s.Tokens[i]))
	}
}

func (h *holderState) add(p stores.PartLocation, tokens int) {
	h.remove(p)
	if h.parts[p.Part] == nil {
		h.parts[p.Part] = map[uint32]int{}
	}
	h.parts[p.Part][p.Store] = tokens
	h.usedTokens[p.Store] += tokens
}

func (h *holderState) remove(p stores.PartLocation) {
	h.usedTokens[p.Store] -= h.parts[p.Part][p.Store]
	delete(h.parts[p.Part], p.Store)
	if len(h.parts[p.Part]) == 0 {
		delete(h.parts, p.Part)
	}
}
