package siteentry

import (
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
)

func (l *holderState) applyPart(r rowtable.Row) error {
	p, err := stores.ParsePartLocation(r.Key)
	if err != nil {
		return err
	}
	if len(r.Value) == 0 {
		l.remove(p)
		return nil
	}
	return decodeRow(r, func(tokens int) { l.add(p, tokens) })
}

// applyStoreSummary applies a summary of a store's listing.
func (l *holderState) applyStoreSummary(s topic.StoreSummary) {
	store := stores.ShortAddress(s.Address)
	if s.ReplacesEarlier && l.usedTokens[store] > 0 {
		for part, held := range l.parts {
			if _, ok := held[store]; ok {
				l.remove(stores.PartLocation{Store: store, Part: part})
			}
		}
	}
	for i := range min(len(s.Parts), len(s.Tokens)) {
		l.add(stores.PartLocation{Store: store, Part: s.Parts[i]}, int(s.Tokens[i]))
	}
}

func (l *holderState) add(p stores.PartLocation, tokens int) {
	l.remove(p)
	if l.parts[p.Part] == nil {
		l.parts[p.Part] = map[uint32]int{}
	}
	l.parts[p.Part][p.Store] = tokens
	l.usedTokens[p.Store] += tokens
}

func (l *holderState) remove(p stores.PartLocation) {
	l.usedTokens[p.Store] -= l.parts[p.Part][p.Store]
	delete(l.parts[p.Part], p.Store)
	if len(l.parts[p.Part]) == 0 {
		delete(l.parts, p.Part)
	}
}
