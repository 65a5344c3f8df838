package quic

import (
	"context"
	"errors"
	"testing"
	"time"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/cache/store"
)

// fakeStore lists one piece per page and fails the second page once.
type fakeStore struct {
	pieces []store.Piece
	failed bool
}

func (f *fakeStore) List(_ context.Context, _ string, after block.Key) (store.Page, error) {
	at := 0
	for at < len(f.pieces) && after != (block.Key{}) && f.pieces[at].Key != after {
		at++
	}
	if after != (block.Key{}) {
		at++
	}
	if at == 1 && !f.failed {
		f.failed = true
		return store.Page{}, errors.New("the store did not answer")
	}
	return store.Page{Pieces: f.pieces[at : at+1], Next: f.pieces[at].Key, Last: at == len(f.pieces)-1}, nil
}

// An entry restarts with an empty share of the directory. Returning prompts would
// be recomputed although a store holds their pieces, so the entry lists the
// stores, and lists a store again if its listing was interrupted.
func TestRestartedEntryLearnsWhatStoresHold(t *testing.T) {
	keys := block.Scope{Workspace: "gate", Model: "draft", WeightVersion: "v1", PieceTokens: 1}.Tokens([]uint32{1, 2, 3})
	f := &fakeStore{}
	for i, k := range keys {
		f.pieces = append(f.pieces, store.Piece{Key: k, Generation: uint64(i + 1), Bytes: 10, Tier: directory.Memory})
	}
	d := directory.New(directory.Config{Start: time.Now()})
	k := &cache{Config: Config{Self: "entry-1", Directory: d, Lister: f, Now: time.Now}, ring: directory.NewRing([]string{"entry-1"})}
	s := StoreVM{Identity: "store-1", Incarnation: 7, Address: "10.0.0.1:80"}
	if k.list(t.Context(), s) {
		t.Fatal("an interrupted listing counts as complete")
	}
	if !k.list(t.Context(), s) {
		t.Fatal("the listing was not completed")
	}
	for i, l := range d.Lookup(keys) {
		if len(l.Stores) != 1 || l.Stores[0].Generation != uint64(i+1) {
			t.Errorf("piece %d: %+v", i, l)
		}
	}
}
