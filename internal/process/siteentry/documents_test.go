package siteentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/topic"
)

// testSource is a replica that shows one document, gives a few chunks a call and may fail.
type testSource struct {
	names topic.Document
	held  map[chunk.Digest]chunk.Chunk
	fails func() bool
}

func newTestSource(t *testing.T, number int64, routes int) *testSource {
	t.Helper()
	d := document.Document{Revision: number}
	for i := range routes {
		d.Routes = append(d.Routes, document.Route{Name: fmt.Sprint("r", i), Host: fmt.Sprintf("h%d", i*7919), Prefix: fmt.Sprintf("/p%x/", i*104729)})
	}
	text, err := codec.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	all, err := chunk.Cut(text, func(chunk.Digest) (chunk.Chunk, bool) { return chunk.Chunk{}, false })
	if err != nil {
		t.Fatal(err)
	}
	s := &testSource{names: topic.Document{Revision: number, Chunks: chunk.Digests(all)}, held: map[chunk.Digest]chunk.Chunk{}, fails: func() bool { return false }}
	for _, c := range all {
		s.held[c.Digest] = c
	}
	return s
}

func (s *testSource) get(wanted []chunk.Digest) ([]chunk.Chunk, error) {
	const most = 3
	if s.fails() {
		return nil, errors.New("unreachable")
	}
	var all []chunk.Chunk
	for _, d := range wanted {
		if c, ok := s.held[d]; ok && len(all) < most {
			all = append(all, c)
		}
	}
	return all, nil
}

// testEntry is an entry's documents with the replicas that it can reach.
type testEntry struct {
	*documents
	mu      sync.Mutex
	sources map[string]*testSource
	taken   []int64
	fetched int
	told    chan time.Time
}

func newTestEntry(t *testing.T) *testEntry {
	e := &testEntry{sources: map[string]*testSource{}, told: make(chan time.Time, 16)}
	e.documents = newDocuments(documentsConfig{
		fetch: func(_ context.Context, address string, wanted []chunk.Digest) ([]chunk.Chunk, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			all, err := e.sources[address].get(wanted)
			e.fetched += len(all)
			return all, err
		},
		take: func(d document.Document, _ log.Fields) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.taken = append(e.taken, d.Revision)
		},
		news: func(asked time.Time) { e.told <- asked },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return e
}

func (e *testEntry) connect(address string, s *testSource) {
	e.mu.Lock()
	e.sources[address] = s
	e.mu.Unlock()
	e.show(address, s.names)
}

func (e *testEntry) newest() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.taken) == 0 {
		return none
	}
	return e.taken[len(e.taken)-1]
}

func (e *testEntry) await(t *testing.T, number int64) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for e.newest() != number {
		if time.Now().After(deadline) {
			t.Fatalf("document %d is not in force, %d is", number, e.newest())
		}
		time.Sleep(time.Millisecond)
	}
}

// Replicas fail in the middle of a large document; what came before must not be
// sent once more, or an entry behind a narrow link never has all of it.
func TestFetchDoesNotBeginAnew(t *testing.T) {
	e := newTestEntry(t)
	s := newTestSource(t, 1, 3000)
	calls := 0
	s.fails = func() bool {
		calls++
		return calls%2 == 0
	}
	e.connect("a", s)
	e.connect("b", s)
	e.await(t, 1)
	if e.fetched != len(s.names.Chunks) {
		t.Errorf("%d chunks came for a document that has %d", e.fetched, len(s.names.Chunks))
	}
}

// An entry that has a document gets what differs in the next one, not all of it.
func TestEntryGetsWhatDiffers(t *testing.T) {
	e := newTestEntry(t)
	e.connect("a", newTestSource(t, 1, 3000))
	e.await(t, 1)
	before := e.fetched
	next := newTestSource(t, 2, 3010)
	e.connect("a", next)
	e.await(t, 2)
	if got := e.fetched - before; got > 4 {
		t.Errorf("%d of %d chunks came for ten routes more", got, len(next.names.Chunks))
	}
}

// A replica that lags shows an older document after others have shown a newer one;
// an entry that took it would step back.
func TestOlderDocumentIsNotTaken(t *testing.T) {
	e := newTestEntry(t)
	e.connect("a", newTestSource(t, 5, 10))
	e.await(t, 5)
	e.connect("b", newTestSource(t, 4, 20))
	e.connect("c", newTestSource(t, 6, 30))
	e.await(t, 6)
	if len(e.taken) != 2 {
		t.Errorf("documents %v were taken", e.taken)
	}
}

// A chunk that isn't what its name says must not end in a document that lacks
// routes, nor keep the entry from getting it elsewhere.
func TestSpoiltChunkIsFetchedElsewhere(t *testing.T) {
	e := newTestEntry(t)
	spoilt, sound := newTestSource(t, 1, 200), newTestSource(t, 1, 200)
	for d, c := range spoilt.held {
		c.Data = append([]byte{}, c.Data[:len(c.Data)/2]...)
		spoilt.held[d] = c
	}
	e.connect("a", spoilt)
	time.Sleep(2 * fetchPause)
	e.connect("b", sound)
	e.await(t, 1)
}

// A woken entry holds requests back until it has the news that it asked for; the
// document that was shown among them counts once it is in force.
func TestNewsCountOnceTheirDocumentIsInForce(t *testing.T) {
	e := newTestEntry(t)
	first, second := time.Now(), time.Now().Add(time.Second)
	e.heard(first)
	if at := <-e.told; at != first {
		t.Fatalf("news of %s were told, not those of %s", at, first)
	}
	s := newTestSource(t, 3, 500)
	var open sync.Mutex
	open.Lock()
	s.fails = func() bool {
		open.Lock()
		defer open.Unlock()
		return false
	}
	e.connect("a", s)
	e.heard(second)
	e.heard(first)
	select {
	case <-e.told:
		t.Fatal("told before the document was in force")
	case <-time.After(50 * time.Millisecond):
	}
	open.Unlock()
	if at := <-e.told; at != second || e.newest() != 3 {
		t.Errorf("news of %s were told, not those of %s, with document %d in force", at, second, e.newest())
	}
}

// Whatever replicas show, in whatever order and with whatever failures, the entry
// ends with the newest document and never steps back.
func TestNewestDocumentComesIntoForce(t *testing.T) {
	p := gopter.DefaultTestParameters()
	p.MinSuccessfulTests = 30
	properties := gopter.NewProperties(p)
	properties.Property("the newest, and forward only", prop.ForAll(
		func(seed uint64) bool {
			r := rand.New(rand.NewPCG(seed, 0))
			e := newTestEntry(t)
			last := int64(none)
			for range 2 + r.IntN(4) {
				s := newTestSource(t, int64(r.IntN(9)), 50*(1+r.IntN(9)))
				flaky := rand.New(rand.NewPCG(r.Uint64(), 0))
				s.fails = func() bool { return flaky.IntN(4) == 0 }
				e.connect(fmt.Sprint("replica-", len(e.sources)), s)
				last = max(last, s.names.Revision)
				time.Sleep(time.Duration(r.IntN(3)) * time.Millisecond)
			}
			e.await(t, last)
			for i := 1; i < len(e.taken); i++ {
				if e.taken[i] <= e.taken[i-1] {
					return false
				}
			}
			return true
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}
