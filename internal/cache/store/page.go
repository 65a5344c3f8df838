package store

import (
	"fmt"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
)

// maxPage is the largest number of pieces in one page of a listing.
const maxPage = 1000

// Page is one page of the list of a store's sealed pieces, ordered by key.
type Page struct {
	// Pieces are the pieces.
	Pieces []Piece
	// Next is the key after which the next page begins; it is zero if Last is set.
	Next block.Key
	// Last is true for the last page.
	Last bool
}

type wirePage struct {
	Pieces []wirePiece `json:"pieces"`
	Next   *block.Key  `json:"next,omitempty"`
}

type wirePiece struct {
	Key        block.Key `json:"key"`
	Generation uint64    `json:"generation"`
	Bytes      int64     `json:"bytes"`
	Tier       string    `json:"tier"`
}

func (p wirePage) page() (Page, error) {
	if len(p.Pieces) > maxPage {
		return Page{}, fmt.Errorf("store: a page of %d pieces exceeds the limit", len(p.Pieces))
	}
	out := Page{Last: p.Next == nil, Pieces: make([]Piece, len(p.Pieces))}
	if p.Next != nil {
		out.Next = *p.Next
	}
	for i, w := range p.Pieces {
		piece, err := w.piece()
		if err != nil {
			return Page{}, err
		}
		out.Pieces[i] = piece
	}
	return out, nil
}

func (w wirePiece) piece() (Piece, error) {
	tier, ok := directory.ParseTier(w.Tier)
	if !ok {
		return Piece{}, fmt.Errorf("store: piece %s has the unknown tier %q", w.Key, w.Tier)
	}
	if w.Generation == 0 || w.Bytes < 0 {
		return Piece{}, fmt.Errorf("store: piece %s has no generation or no size", w.Key)
	}
	return Piece{Key: w.Key, Generation: w.Generation, Bytes: w.Bytes, Tier: tier}, nil
}
