package route

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/settings/rules"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const pieceTokens = 4000

// randomCell returns a cell with servers candidates and two stores.
func randomCell(r *rand.Rand, servers int) *Cell {
	c := &Cell{Stores: make([]Store, 2)}
	for range servers {
		c.Candidates = append(c.Candidates, randomCandidate(r, len(c.Candidates)))
	}
	for i := range c.Stores {
		c.Stores[i] = Store{
			Identity:   fmt.Sprintf("store-%d", i),
			LinkRate:   float64(r.IntN(4)) * 1e9,
			LinkQueued: r.Int64N(4e9),
			DiskRate:   float64(r.IntN(3)) * 5e8,
			DiskQueued: r.Int64N(1e9),
		}
	}
	return c
}

func randomCandidate(r *rand.Rand, i int) Candidate {
	c := Candidate{
		Identity:      fmt.Sprintf("server-%d", i),
		ReportedAt:    start.Add(-time.Duration(r.IntN(1000)) * time.Millisecond),
		Suspect:       r.IntN(10) == 0,
		Reserve:       r.IntN(3) == 0,
		PriorityAware: r.IntN(2) == 0,
		Load: announcement.Load{
			Running:      r.IntN(40),
			QueuedTokens: r.Int64N(60000),
			PrefillRate:  float64(5000 + r.IntN(10000)),
			DecodeRate:   40,
			MaxRunning:   32,
		},
	}
	for range r.IntN(4) {
		c.SentSinceReport = c.SentSinceReport.With(r.IntN(Bands), 1, r.Int64N(20000))
	}
	c.InFlight = c.SentSinceReport.With(r.IntN(Bands), 1, r.Int64N(20000))
	return c
}

// randomRequest returns a request with the given number of pieces, whose copies are spread over c.
func randomRequest(r *rand.Rand, c *Cell, pieces int) *Request {
	q := &Request{
		Workspace: "north",
		Key:       r.Uint64(),
		Rules: rules.Rules{
			Priority:        r.IntN(Bands),
			Deadline:        time.Duration(r.IntN(20)) * time.Second,
			Worth:           r.Float64() * 5,
			FirstTokenPrice: r.Float64() * 5,
			RecomputePrice:  r.Float64(),
			LinkPrice:       r.Float64() * 5,
		},
	}
	for range pieces {
		q.Pieces = append(q.Pieces, randomPiece(r, c))
	}
	q.Tokens = pieces*pieceTokens + r.IntN(pieceTokens)
	return q
}

func randomPiece(r *rand.Rand, c *Cell) Piece {
	p := Piece{Tokens: pieceTokens, Bytes: 5e8}
	for range r.IntN(3) {
		p.Engines = append(p.Engines, r.IntN(len(c.Candidates)))
	}
	for range r.IntN(3) {
		p.Copies = append(p.Copies, Copy{Store: r.IntN(len(c.Stores)), Tier: Tier(r.IntN(2))})
	}
	return p
}
