package siteentry

import (
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
)

// applyPart applies the size of the part whose location has that key, zero for one that may not be fetched any more.
func (h *holderState) applyPart(key string, tokens int) error {
	p, err := stores.ParsePartLocation(key)
	if err != nil {
		return err
	}
	h.remove(p)
	if tokens > 0 {
		h.add(p, tokens)
	}
	return nil
}

// applyStoreSummary applies a summary of a store's listing.
func (h *holderState) applyStoreSummary(s topic.StoreSummary) error {
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
	return nil
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
