package model

import (
	"hornbeamwood/internal/policy/placement"
	"hornbeamwood/internal/policy/route"
)

// export exports pieces of an answered request by the export rule of the strategy under comparison.
func (e *entry) export(q *request) {
	rule := e.run.config.Variant.Exports
	if rule == ExportNone || q.arrival.Document == 0 {
		return
	}
	in := e.placementInput(q)
	if rule == ExportAll {
		e.exportAll(q, in)
		return
	}
	for _, x := range placement.Decide(in).Exports {
		e.write(q, x.Piece, x.Store, x.Tier)
	}
}

func (e *entry) exportAll(q *request, in placement.Input) {
	for i := range in.Pieces {
		if s := placement.Place(in.Pieces[i].Key, in.Stores); !in.Pieces[i].Stored && s != route.None {
			e.write(q, i, s, route.Memory)
		}
	}
}

func (e *entry) write(q *request, piece, store int, tier route.Tier) {
	e.run.stores[store].write(q.arrival.Pieces[piece], e.run.config.Profile.PieceBytes, tier)
}

func (e *entry) placementInput(q *request) placement.Input {
	p := e.run.config.Profile
	in := placement.Input{
		Rules:            q.arrival.Rules,
		ReuseProbability: e.reuse.Probability(q.arrival.Workspace, q.arrival.Visit),
		PrefillRate:      p.PrefillRate,
	}
	for _, key := range q.arrival.Pieces {
		in.Pieces = append(in.Pieces, placement.Piece{
			Key: key, Tokens: e.run.config.Deployment.PieceTokens, Bytes: p.PieceBytes,
			Stored: len(e.run.directory.copies[key]) > 0,
		})
	}
	for i := range e.stores {
		in.Stores = append(in.Stores, e.placementStore(i))
	}
	return in
}

func (e *entry) placementStore(i int) placement.Store {
	p := e.run.config.Profile
	v := &e.stores[i]
	s := placement.Store{
		Identity: e.run.storeNames[i],
		Lost:     v.lost,
		LinkRate: v.rate,
		Memory:   int64(p.MemoryPieces) * p.PieceBytes,
		Disk:     int64(p.DiskPieces) * p.PieceBytes,
	}
	if v.rate > 0 {
		s.Backlog = float64(v.queued) / v.rate
	}
	return s
}
