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
		sim := newCacheSimulation(seed)
		for range 600 {
			sim.step()
			if sim.fault != "" {
				return sim.fault
			}
		}
		sum.add(sim.counts)
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

func (c *counts) add(o counts) {
	c.pieces += o.pieces
	c.fromEngine += o.fromEngine
	c.imported += o.imported
	c.missed += o.missed
	c.recomputed += o.recomputed
	c.uncheckedWrong += o.uncheckedWrong
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
	sim := &cacheSimulation{
		r:       rand.New(rand.NewPCG(seed, 6)),
		now:     time.Unix(5000, 0),
		ring:    NewRing([]string{"0", "1"}),
		engines: []*fakeEngine{newFakeEngine("engine-0"), newFakeEngine("engine-1")},
		stores:  []*fakeStore{newFakeStore("store-0"), newFakeStore("store-1")},
		wanted:  map[string]bool{},
	}
	for range 2 {
		sim.holders = append(sim.holders, New(Config{Start: sim.now, Tombstone: time.Hour}))
		sim.reportedFreed = append(sim.reportedFreed, map[string]uint64{})
	}
	return sim
}

// content returns the expected bytes of a piece; it does not use the code that computes keys.
func content(s block.Scope, prompt []uint32) []byte {
	d := sha256.Sum256(fmt.Appendf(nil, "%q %q %q %v", s.Workspace, s.Model, s.WeightVersion, prompt))
	return bytes.Repeat(d[:], 4)
}

func (sim *cacheSimulation) step() {
	sim.now = sim.now.Add(time.Duration(sim.r.IntN(200)) * time.Millisecond)
	sim.deliver()
	actions := []func(){
		sim.begin, sim.begin, sim.advance, sim.advance, sim.advance, sim.advance, sim.export, sim.export, sim.export, sim.export, sim.export, sim.export,
		sim.sendReport, sim.sendReport, sim.sendListings, sim.free, sim.deleteFreed, sim.injectFault,
	}
	actions[sim.r.IntN(len(actions))]()
	sim.check()
}

func (sim *cacheSimulation) begin() {
	if len(sim.runs) > 4 {
		return
	}
	s := block.Scope{
		Workspace:     []string{"a", "b"}[sim.r.IntN(2)],
		Model:         "m",
		WeightVersion: fmt.Sprintf("v%d", sim.version),
		PieceTokens:   2,
	}
	prompt := []uint32{uint32(sim.r.IntN(2)), 1, uint32(sim.r.IntN(2)), 2, 3, 3}
	sim.runs = append(sim.runs, &run{scope: s, prompt: prompt, keys: s.Tokens(prompt), engine: sim.engines[sim.r.IntN(2)]})
}

// advance gets the next piece of one run from memory, by an import, or by computing it.
func (sim *cacheSimulation) advance() {
	if len(sim.runs) == 0 {
		return
	}
	i := sim.r.IntN(len(sim.runs))
	r := sim.runs[i]
	if r.reading != nil {
		sim.endImport(r)
	} else {
		sim.getPiece(r)
	}
	if r.at == len(r.keys) {
		sim.runs = append(sim.runs[:i], sim.runs[i+1:]...)
	}
}

func (sim *cacheSimulation) getPiece(r *run) {
	k := r.keys[r.at]
	h := sim.r.IntN(2)
	found := sim.holders[h].Lookup([]block.Key{k})[0]
	sim.checkLookup(h, k, found)
	for _, s := range sim.stores {
		if got := s.readUnchecked(k); got != nil && !bytes.Equal(got, sim.want(r)) {
			sim.counts.uncheckedWrong++
		}
	}
	if found.heldBy(r.engine.identity) {
		if data, ok := r.engine.memory[k]; ok {
			sim.counts.fromEngine++
			sim.use(r, data)
			return
		}
		sim.counts.missed++
	}
	for _, at := range found.Stores {
		if sim.beginImport(r, h, k, at) {
			return
		}
	}
	sim.counts.recomputed++
	sim.use(r, sim.want(r))
}

func (sim *cacheSimulation) beginImport(r *run, h int, k block.Key, at Stored) bool {
	sim.reader++
	pin := Pin{Store: at.Store, Key: k, Generation: at.Generation, Reader: sim.reader, DeadlineMillis: 5000}
	if sim.holders[h].Pin(sim.now, pin).Outcome != Applied {
		return false
	}
	d, ok := sim.store(at.Store).read(k, at.Generation)
	if !ok {
		sim.counts.missed++
		sim.holders[h].Unpin(sim.now, pin)
		sim.post(k, Message{Store: sim.change(at.Store, k, Freed, at.Generation)})
		return false
	}
	r.reading, r.pin = d, pin
	r.holder, r.until = h, sim.now.Add(5*time.Second)
	return true
}

func (sim *cacheSimulation) endImport(r *run) {
	data, whole := r.reading.end(sim.r)
	pin := r.pin
	sim.post(pin.Key, Message{Unpin: &pin})
	r.reading = nil
	if !whole {
		sim.counts.recomputed++
		data = sim.want(r)
	} else {
		sim.counts.imported++
	}
	sim.use(r, data)
}

func (sim *cacheSimulation) want(r *run) []byte {
	return content(r.scope, r.prompt[:(r.at+1)*r.scope.PieceTokens])
}

func (sim *cacheSimulation) use(r *run, data []byte) {
	sim.counts.pieces++
	if !bytes.Equal(data, sim.want(r)) {
		sim.fault = fmt.Sprintf("piece %d of %v in %+v got other bytes", r.at, r.prompt, r.scope)
	}
	r.engine.insert(r.keys[r.at], data)
	r.at++
}

func (sim *cacheSimulation) store(identity string) *fakeStore {
	for _, s := range sim.stores {
		if s.identity == identity {
			return s
		}
	}
	return nil
}

func (sim *cacheSimulation) change(store string, k block.Key, to State, generation uint64) *StoreChange {
	return &StoreChange{
		Store:       store,
		Incarnation: sim.store(store).incarnation,
		Key:         k,
		To:          to,
		Generation:  generation,
		Bytes:       128,
	}
}
