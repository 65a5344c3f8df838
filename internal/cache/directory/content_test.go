package directory

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/cache/block"
)

// histories is the number of random histories; long runs raise it.
var histories = flag.Int("histories", 150, "random histories of the cache")

// Pieces are written, read, evicted and freed concurrently: a store is full or
// crashes during an export, a freed key is written again, an import races with
// a deletion, weights are replaced while requests run, an engine returns under
// its identity with an empty cache, and events are delayed, duplicated and lost.
// If any of these put one wrong byte into a prompt's cache, the caller would
// get an answer to a prompt that was never sent.
func TestEveryByteReadIsThePromptsOwn(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(6)
	p.MinSuccessfulTests = *histories
	all := gopter.NewProperties(p)
	var sum counts
	all.Property("pieces read are whole, sealed, and of the request's version", prop.ForAllNoShrink(func(seed uint64) string {
		w := newCacheSimulation(seed)
		for range 600 {
			w.step()
			if w.fault != "" {
				return w.fault
			}
		}
		sum.add(w.counts)
		return ""
	}, gen.UInt64()))
	all.TestingRun(t)
	t.Logf("%+v", sum)
	if sum.fromEngine == 0 || sum.imported == 0 || sum.missed == 0 || sum.uncheckedWrong == 0 {
		t.Error("the histories do not cover all cases")
	}
}

// counts counts the events in the histories.
type counts struct {
	pieces, fromEngine, imported, missed, recomputed, uncheckedWrong int
}

func (t *counts) add(o counts) {
	t.pieces += o.pieces
	t.fromEngine += o.fromEngine
	t.imported += o.imported
	t.missed += o.missed
	t.recomputed += o.recomputed
	t.uncheckedWrong += o.uncheckedWrong
}

// run is one running request.
type run struct {
	scope   block.Scope
	prompt  []uint32
	keys    []block.Key
	at      int
	engine  *fakeEngine
	reading *download
	pin     Pin
	// holder granted the pin, which expires at until.
	holder int
	until  time.Time
}

// delivery is a message in flight to one holder.
type delivery struct {
	at time.Time
	to int
	m  Message
}

// cacheSimulation simulates two holders, two engines and two stores with a random history.
type cacheSimulation struct {
	r        *rand.Rand
	now      time.Time
	ring     Ring
	holders  []Directory
	engines  []*fakeEngine
	stores   []*fakeStore
	version  int
	runs     []*run
	inFlight []delivery
	wanted   map[string]bool
	// reportedFreed holds for each holder the highest generation of each piece that was reported to it as freed.
	reportedFreed []map[string]uint64
	reader        uint64
	fault         string
	counts        counts
}

func newCacheSimulation(seed uint64) *cacheSimulation {
	w := &cacheSimulation{
		r:       rand.New(rand.NewPCG(seed, 6)),
		now:     time.Unix(5000, 0),
		ring:    NewRing([]string{"0", "1"}),
		engines: []*fakeEngine{newFakeEngine("engine-0"), newFakeEngine("engine-1")},
		stores:  []*fakeStore{newFakeStore("store-0"), newFakeStore("store-1")},
		wanted:  map[string]bool{},
	}
	for range 2 {
		w.holders = append(w.holders, New(Config{Start: w.now, Tombstone: time.Hour}))
		w.reportedFreed = append(w.reportedFreed, map[string]uint64{})
	}
	return w
}

// content returns the expected bytes of a piece; it does not use the code that computes keys.
func content(s block.Scope, prompt []uint32) []byte {
	d := sha256.Sum256(fmt.Appendf(nil, "%q %q %q %v", s.Workspace, s.Model, s.WeightVersion, prompt))
	return bytes.Repeat(d[:], 4)
}

func (w *cacheSimulation) step() {
	w.now = w.now.Add(time.Duration(w.r.IntN(200)) * time.Millisecond)
	w.deliver()
	actions := []func(){
		w.begin, w.begin, w.advance, w.advance, w.advance, w.advance, w.export, w.export, w.export, w.export, w.export, w.export,
		w.sendReport, w.sendReport, w.sendListings, w.free, w.deleteFreed, w.injectFault,
	}
	actions[w.r.IntN(len(actions))]()
	w.check()
}

func (w *cacheSimulation) begin() {
	if len(w.runs) > 4 {
		return
	}
	s := block.Scope{
		Workspace:     []string{"a", "b"}[w.r.IntN(2)],
		Model:         "m",
		WeightVersion: fmt.Sprintf("v%d", w.version),
		PieceTokens:   2,
	}
	prompt := []uint32{uint32(w.r.IntN(2)), 1, uint32(w.r.IntN(2)), 2, 3, 3}
	w.runs = append(w.runs, &run{scope: s, prompt: prompt, keys: s.Tokens(prompt), engine: w.engines[w.r.IntN(2)]})
}

// advance gets the next piece of one run from memory, by an import, or by computing it.
func (w *cacheSimulation) advance() {
	if len(w.runs) == 0 {
		return
	}
	i := w.r.IntN(len(w.runs))
	q := w.runs[i]
	if q.reading != nil {
		w.endImport(q)
	} else {
		w.getPiece(q)
	}
	if q.at == len(q.keys) {
		w.runs = append(w.runs[:i], w.runs[i+1:]...)
	}
}

func (w *cacheSimulation) getPiece(q *run) {
	k := q.keys[q.at]
	h := w.r.IntN(2)
	found := w.holders[h].Lookup([]block.Key{k})[0]
	w.checkLookup(h, k, found)
	for _, s := range w.stores {
		if got := s.readUnchecked(k); got != nil && !bytes.Equal(got, w.want(q)) {
			w.counts.uncheckedWrong++
		}
	}
	if found.heldBy(q.engine.identity) {
		if data, ok := q.engine.memory[k]; ok {
			w.counts.fromEngine++
			w.use(q, data)
			return
		}
		w.counts.missed++
	}
	for _, at := range found.Stores {
		if w.beginImport(q, h, k, at) {
			return
		}
	}
	w.counts.recomputed++
	w.use(q, w.want(q))
}

func (w *cacheSimulation) beginImport(q *run, h int, k block.Key, at Stored) bool {
	w.reader++
	pin := Pin{Store: at.Store, Key: k, Generation: at.Generation, Reader: w.reader, DeadlineMillis: 5000}
	if w.holders[h].Pin(w.now, pin).Outcome != Applied {
		return false
	}
	d, ok := w.store(at.Store).read(k, at.Generation)
	if !ok {
		w.counts.missed++
		w.holders[h].Unpin(w.now, pin)
		w.post(k, Message{Store: w.change(at.Store, k, Freed, at.Generation)})
		return false
	}
	q.reading, q.pin = d, pin
	q.holder, q.until = h, w.now.Add(5*time.Second)
	return true
}

func (w *cacheSimulation) endImport(q *run) {
	data, whole := q.reading.end(w.r)
	pin := q.pin
	w.post(pin.Key, Message{Unpin: &pin})
	q.reading = nil
	if !whole {
		w.counts.recomputed++
		data = w.want(q)
	} else {
		w.counts.imported++
	}
	w.use(q, data)
}

func (w *cacheSimulation) want(q *run) []byte {
	return content(q.scope, q.prompt[:(q.at+1)*q.scope.PieceTokens])
}

func (w *cacheSimulation) use(q *run, data []byte) {
	w.counts.pieces++
	if !bytes.Equal(data, w.want(q)) {
		w.fault = fmt.Sprintf("piece %d of %v in %+v got other bytes", q.at, q.prompt, q.scope)
	}
	q.engine.insert(q.keys[q.at], data)
	q.at++
}

func (w *cacheSimulation) store(identity string) *fakeStore {
	for _, s := range w.stores {
		if s.identity == identity {
			return s
		}
	}
	return nil
}

func (w *cacheSimulation) change(store string, k block.Key, to State, generation uint64) *StoreChange {
	return &StoreChange{
		Store:       store,
		Incarnation: w.store(store).incarnation,
		Key:         k,
		To:          to,
		Generation:  generation,
		Bytes:       128,
	}
}
