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

// testSource is a replica that announces one document, returns a few chunks per call and may fail.
type testSource struct {
	document topic.Document
	chunks   map[chunk.Digest]chunk.Chunk
	failing  func() bool
}

func newTestSource(t *testing.T, revision int64, routes int) *testSource {
	t.Helper()
	d := document.Document{Revision: revision}
	for i := range routes {
		d.Routes = append(d.Routes, document.Route{Name: fmt.Sprint("r", i), Host: fmt.Sprintf("h%d", i*7919), Prefix: fmt.Sprintf("/p%x/", i*104729)})
	}
	text, err := codec.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	all, err := chunk.Split(text, func(chunk.Digest) (chunk.Chunk, bool) { return chunk.Chunk{}, false })
	if err != nil {
		t.Fatal(err)
	}
	s := &testSource{document: topic.Document{Revision: revision, Chunks: chunk.Digests(all)}, chunks: map[chunk.Digest]chunk.Chunk{}, failing: func() bool { return false }}
	for _, c := range all {
		s.chunks[c.Digest] = c
	}
	return s
}

func (s *testSource) get(wanted []chunk.Digest) ([]chunk.Chunk, error) {
	const most = 3
	if s.failing() {
		return nil, errors.New("unreachable")
	}
	var all []chunk.Chunk
	for _, d := range wanted {
		if c, ok := s.chunks[d]; ok && len(all) < most {
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
	applied []int64
	fetched int
	updates chan time.Time
}

func newTestEntry(t *testing.T) *testEntry {
	e := &testEntry{sources: map[string]*testSource{}, updates: make(chan time.Time, 16)}
	e.documents = newDocuments(documentsConfig{
		fetch: func(_ context.Context, address string, wanted []chunk.Digest) ([]chunk.Chunk, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			all, err := e.sources[address].get(wanted)
			e.fetched += len(all)
			return all, err
		},
		apply: func(d document.Document, _ string, _ log.Fields) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.applied = append(e.applied, d.Revision)
		},
		updated: func(sent time.Time) { e.updates <- sent },
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
	e.offer(address, s.document)
}

func (e *testEntry) newest() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.applied) == 0 {
		return noRevision
	}
	return e.applied[len(e.applied)-1]
}

func (e *testEntry) await(t *testing.T, revision int64) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for e.newest() != revision {
		if time.Now().After(deadline) {
			t.Fatalf("document %d is not in force, %d is", revision, e.newest())
		}
		time.Sleep(time.Millisecond)
	}
}

// Replicas fail in the middle of a large document. Chunks that were received must not be sent again, or an entry
// behind a slow link never completes the document.
func TestFetchGoesOnAfterFailures(t *testing.T) {
	e := newTestEntry(t)
	s := newTestSource(t, 1, 3000)
	calls := 0
	s.failing = func() bool {
		calls++
		return calls%2 == 0
	}
	e.connect("a", s)
	e.connect("b", s)
	e.await(t, 1)
	if e.fetched != len(s.document.Chunks) {
		t.Errorf("fetched %d chunks of a document that has %d", e.fetched, len(s.document.Chunks))
	}
}

// An entry that has a document fetches only the chunks that differ in the next one.
func TestOnlyChangedChunksAreFetched(t *testing.T) {
	e := newTestEntry(t)
	e.connect("a", newTestSource(t, 1, 3000))
	e.await(t, 1)
	before := e.fetched
	next := newTestSource(t, 2, 3010)
	e.connect("a", next)
	e.await(t, 2)
	if got := e.fetched - before; got > 4 {
		t.Errorf("fetched %d of %d chunks for ten more routes", got, len(next.document.Chunks))
	}
}

// A replica that lags announces an older document after others have announced a newer one. An entry that applied
// it would go back to an old revision.
func TestOlderDocumentIsNotApplied(t *testing.T) {
	e := newTestEntry(t)
	e.connect("a", newTestSource(t, 5, 10))
	e.await(t, 5)
	e.connect("b", newTestSource(t, 4, 20))
	e.connect("c", newTestSource(t, 6, 30))
	e.await(t, 6)
	if len(e.applied) != 2 {
		t.Errorf("documents %v were applied", e.applied)
	}
}

// A chunk that doesn't match its digest must not result in a document that lacks routes, nor keep the entry from
// fetching it from another replica.
func TestCorruptChunkIsFetchedElsewhere(t *testing.T) {
	e := newTestEntry(t)
	corrupt, intact := newTestSource(t, 1, 200), newTestSource(t, 1, 200)
	for d, c := range corrupt.chunks {
		c.Data = append([]byte{}, c.Data[:len(c.Data)/2]...)
		corrupt.chunks[d] = c
	}
	e.connect("a", corrupt)
	time.Sleep(2 * fetchBackoff)
	e.connect("b", intact)
	e.await(t, 1)
}

// A resumed entry holds requests back until a poll that it sent since has been answered. A document in the
// answer must be in force before the answer counts.
func TestUpdateIsReportedOnceItsDocumentIsInForce(t *testing.T) {
	e := newTestEntry(t)
	first, second := time.Now(), time.Now().Add(time.Second)
	e.pollAnswered(first)
	if at := <-e.updates; at != first {
		t.Fatalf("reported the poll sent at %s, want %s", at, first)
	}
	s := newTestSource(t, 3, 500)
	var gate sync.Mutex
	gate.Lock()
	s.failing = func() bool {
		gate.Lock()
		defer gate.Unlock()
		return false
	}
	e.connect("a", s)
	e.pollAnswered(second)
	e.pollAnswered(first)
	select {
	case <-e.updates:
		t.Fatal("the poll was reported before its document was in force")
	case <-time.After(50 * time.Millisecond):
	}
	gate.Unlock()
	if at := <-e.updates; at != second || e.newest() != 3 {
		t.Errorf("reported the poll sent at %s, want %s; document %d is in force", at, second, e.newest())
	}
}

// Whatever replicas announce, in any order and with any failures, the entry ends with the newest document and
// never goes back to an older one.
func TestNewestDocumentComesIntoForce(t *testing.T) {
	p := gopter.DefaultTestParameters()
	p.MinSuccessfulTests = 30
	properties := gopter.NewProperties(p)
	properties.Property("the newest document, and revisions only increase", prop.ForAll(
		func(seed uint64) bool {
			r := rand.New(rand.NewPCG(seed, 0))
			e := newTestEntry(t)
			last := int64(noRevision)
			for range 2 + r.IntN(4) {
				s := newTestSource(t, int64(r.IntN(9)), 50*(1+r.IntN(9)))
				flaky := rand.New(rand.NewPCG(r.Uint64(), 0))
				s.failing = func() bool { return flaky.IntN(4) == 0 }
				e.connect(fmt.Sprint("replica-", len(e.sources)), s)
				last = max(last, s.document.Revision)
				time.Sleep(time.Duration(r.IntN(3)) * time.Millisecond)
			}
			e.await(t, last)
			for i := 1; i < len(e.applied); i++ {
				if e.applied[i] <= e.applied[i-1] {
					return false
				}
			}
			return true
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}
