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

// histories is raised for long runs.
var histories = flag.Int("histories", 150, "random histories of the cache")

// Pieces are written, read, evicted and freed at once: a store is full or dies
// half-way through an export, a freed key is written again, an import races a
// deletion, weights are swapped while requests run, an engine comes back under
// its identity with an empty cache, and events are late, doubled and lost. If
// any of these let one wrong byte into a prompt's cache, the caller would read
// an answer to something that was never asked.
func TestEveryByteReadIsThePromptsOwn(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(6)
	p.MinSuccessfulTests = *histories
	all := gopter.NewProperties(p)
	var sum tally
	all.Property("pieces read are whole, sealed, and of the request's version", prop.ForAllNoShrink(func(seed uint64) string {
		w := newCacheWorld(seed)
		for range 600 {
			w.step()
			if w.fault != "" {
				return w.fault
			}
		}
		sum.add(w.tally)
		return ""
	}, gen.UInt64()))
	all.TestingRun(t)
	t.Logf("%+v", sum)
	if sum.fromEngine == 0 || sum.imported == 0 || sum.missed == 0 || sum.carelessWrong == 0 {
		t.Error("the histories leave out a case, so they prove too little")
	}
}

// tally counts what the histories brought about.
type tally struct {
	pieces, fromEngine, imported, missed, recomputed, carelessWrong int
}

func (t *tally) add(o tally) {
	t.pieces += o.pieces
	t.fromEngine += o.fromEngine
	t.imported += o.imported
	t.missed += o.missed
	t.recomputed += o.recomputed
	t.carelessWrong += o.carelessWrong
}

// run is one request that goes on while other things happen.
type run struct {
	scope   block.Scope
	prompt  []uint32
	keys    []block.Key
	at      int
	engine  *fakeEngine
	reading *download
	pin     Pin
	// holder granted the pin, which counts until then.
	holder int
	until  time.Time
}

// parcel is a message to one holder that is on its way.
type parcel struct {
	at time.Time
	to int
	m  Message
}

// cacheWorld is two holders, two engines and two stores under a random history.
type cacheWorld struct {
	r       *rand.Rand
	now     time.Time
	ring    Ring
	holders []Directory
	engines []*fakeEngine
	stores  []*fakeStore
	version int
	runs    []*run
	wire    []parcel
	wanted  map[string]bool
	// told holds the highest generation of each piece that a holder was told is freed.
	told   []map[string]uint64
	reader uint64
	fault  string
	tally  tally
}

func newCacheWorld(seed uint64) *cacheWorld {
	w := &cacheWorld{
		r:       rand.New(rand.NewPCG(seed, 6)),
		now:     time.Unix(5000, 0),
		ring:    NewRing([]string{"0", "1"}),
		engines: []*fakeEngine{newFakeEngine("engine-0"), newFakeEngine("engine-1")},
		stores:  []*fakeStore{newFakeStore("store-0"), newFakeStore("store-1")},
		wanted:  map[string]bool{},
	}
	for range 2 {
		w.holders = append(w.holders, New(Config{Start: w.now, Tombstone: time.Hour}))
		w.told = append(w.told, map[string]uint64{})
	}
	return w
}

// content is what a piece must hold; it is made without the code that makes keys.
func content(s block.Scope, prompt []uint32) []byte {
	d := sha256.Sum256(fmt.Appendf(nil, "%q %q %q %v", s.Workspace, s.Model, s.WeightVersion, prompt))
	return bytes.Repeat(d[:], 4)
}

func (w *cacheWorld) step() {
	w.now = w.now.Add(time.Duration(w.r.IntN(200)) * time.Millisecond)
	w.deliver()
	actions := []func(){
		w.begin, w.begin, w.advance, w.advance, w.advance, w.advance, w.export, w.export, w.export, w.export, w.export, w.export,
		w.tell, w.tell, w.list, w.free, w.deleteFreed, w.upset,
	}
	actions[w.r.IntN(len(actions))]()
	w.check()
}

func (w *cacheWorld) begin() {
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

// advance lets one run get its next piece: from memory, by an import, or computed.
func (w *cacheWorld) advance() {
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

func (w *cacheWorld) getPiece(q *run) {
	k := q.keys[q.at]
	h := w.r.IntN(2)
	found := w.holders[h].Lookup([]block.Key{k})[0]
	w.checkLookup(h, k, found)
	for _, s := range w.stores {
		if got := s.careless(k); got != nil && !bytes.Equal(got, w.want(q)) {
			w.tally.carelessWrong++
		}
	}
	if found.heldBy(q.engine.identity) {
		if data, ok := q.engine.memory[k]; ok {
			w.tally.fromEngine++
			w.use(q, data)
			return
		}
		w.tally.missed++
	}
	for _, at := range found.Stores {
		if w.beginImport(q, h, k, at) {
			return
		}
	}
	w.tally.recomputed++
	w.use(q, w.want(q))
}

func (w *cacheWorld) beginImport(q *run, h int, k block.Key, at Stored) bool {
	w.reader++
	pin := Pin{Store: at.Store, Key: k, Generation: at.Generation, Reader: w.reader, DeadlineMillis: 5000}
	if w.holders[h].Pin(w.now, pin).Outcome != Applied {
		return false
	}
	d, ok := w.store(at.Store).read(k, at.Generation)
	if !ok {
		w.tally.missed++
		w.holders[h].Unpin(w.now, pin)
		w.post(k, Message{Store: w.change(at.Store, k, Freed, at.Generation)})
		return false
	}
	q.reading, q.pin = d, pin
	q.holder, q.until = h, w.now.Add(5*time.Second)
	return true
}

func (w *cacheWorld) endImport(q *run) {
	data, whole := q.reading.end(w.r)
	pin := q.pin
	w.post(pin.Key, Message{Unpin: &pin})
	q.reading = nil
	if !whole {
		w.tally.recomputed++
		data = w.want(q)
	} else {
		w.tally.imported++
	}
	w.use(q, data)
}

func (w *cacheWorld) want(q *run) []byte {
	return content(q.scope, q.prompt[:(q.at+1)*q.scope.PieceTokens])
}

func (w *cacheWorld) use(q *run, data []byte) {
	w.tally.pieces++
	if !bytes.Equal(data, w.want(q)) {
		w.fault = fmt.Sprintf("piece %d of %v in %+v got other bytes", q.at, q.prompt, q.scope)
	}
	q.engine.insert(q.keys[q.at], data)
	q.at++
}

func (w *cacheWorld) store(identity string) *fakeStore {
	for _, s := range w.stores {
		if s.identity == identity {
			return s
		}
	}
	return nil
}

func (w *cacheWorld) change(store string, k block.Key, to State, generation uint64) *StoreChange {
	return &StoreChange{
		Store:       store,
		Incarnation: w.store(store).incarnation,
		Key:         k,
		To:          to,
		Generation:  generation,
		Bytes:       128,
	}
}
