package siteentry

import (
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/board"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

func row(t *testing.T, top board.Topic, key string, value any) board.Row {
	t.Helper()
	b, err := codec.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return board.Row{Topic: top, Key: key, Value: b}
}

func siteWithStore(t *testing.T) *site {
	s := newSite(nil, parts.NewMemory(), share.NewOthers("e"), func() {})
	s.follow = func() {}
	s.take("old", watch.Answer{Epoch: 1, Fencing: 4, CaughtUp: true, Rows: []board.Row{
		row(t, topic.Document, "", document.Document{Number: 1, Stores: []document.Store{{Address: "1:1", Tokens: 1000}}}),
		row(t, topic.Parts, stores.Part{Salt: "m/1", ID: "p"}.Key("1:1"), 300),
		row(t, topic.StoresUp, "1:1", true),
		row(t, topic.Epochs, "1:1", int64(7)),
	}})
	return s
}

// The replica that told of the stores is lost. Until another one holds the
// lease the entry goes on with what it was told; but a store that restarts in
// that time is empty, and a part that is being written there anew would be
// fetched half.
func TestRestartOfAStoreIsHeardWithoutTheHolder(t *testing.T) {
	s := siteWithStore(t)
	whole := func() bool { return len(s.Copies("m/1", "p", 300)) == 1 }
	if !whole() {
		t.Fatal("the part isn't known")
	}
	s.mu.Lock()
	s.leads["old"].heard = time.Now().Add(-tellsFor - time.Second)
	s.mu.Unlock()
	if whole() {
		t.Error("believed without anybody's word that the store still runs")
	}
	s.take("other", watch.Answer{Epoch: 1, Rows: []board.Row{row(t, topic.Epochs, "1:1", int64(7))}})
	if !whole() {
		t.Error("not believed though another replica sees the same start")
	}
	s.take("other", watch.Answer{Epoch: 1, Rows: []board.Row{row(t, topic.Epochs, "1:1", int64(8))}})
	if whole() {
		t.Error("believed though the store has restarted")
	}
}

// Two replicas claim the lease, one of them has been superseded and doesn't know.
func TestHigherFencingNumberCounts(t *testing.T) {
	s := siteWithStore(t)
	s.take("new", watch.Answer{Epoch: 1, Fencing: 5, Rows: []board.Row{row(t, topic.StoresUp, "1:1", true), row(t, topic.Epochs, "1:1", int64(7))}})
	s.take("old", watch.Answer{Epoch: 1, Fencing: 4})
	if len(s.Copies("m/1", "p", 300)) != 0 {
		t.Error("the superseded holder's word counts")
	}
}
