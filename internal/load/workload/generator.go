package workload

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Generator returns arrivals in the order of their times.
type Generator interface {
	// Next returns the next arrival and whether there is one.
	Next() (Arrival, bool)
}

type generator struct {
	config    Config
	random    *rand.Rand
	pending   pending
	count     int
	documents uint64
}

// New returns a Generator for c. New documents and prompts arrive as a Poisson
// process for each class; documents return after the class's gap.
func New(c Config) Generator {
	g := &generator{config: c, random: rand.New(rand.NewPCG(c.Seed, 0x6c6f6164))}
	for i := range c.Deployment.Classes {
		g.schedule(i, 0)
	}
	return g
}

// Next returns the earliest arrival and draws the arrivals that follow from it.
func (g *generator) Next() (Arrival, bool) {
	if len(g.pending) == 0 {
		return Arrival{}, false
	}
	a := heap.Pop(&g.pending).(Arrival)
	if a.Visit <= 1 {
		g.schedule(a.Class, a.At)
	}
	g.scheduleReturn(a)
	return a, true
}

// schedule draws the next new request of a class after the given time.
func (g *generator) schedule(class int, at time.Duration) {
	c := &g.config.Deployment.Classes[class]
	rate := g.config.Rate * c.RequestShare * (1 - c.ReturnProbability)
	if rate <= 0 {
		return
	}
	at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
	g.add(g.draw(class, at))
}

func (g *generator) draw(class int, at time.Duration) Arrival {
	c := &g.config.Deployment.Classes[class]
	w := g.drawWorkspace()
	a := Arrival{At: at, Class: class, Workspace: w.Name, Visit: 1, Rules: c.Rules}
	a.Rules.Share = w.Share
	a.Tail = c.Tail.Draw(g.random)
	a.Answer = c.Answer.Draw(g.random)
	if c.Service != "" {
		return a
	}
	a.Pieces = []uint64{pieceKey(a.Workspace, 0, 0)}
	if c.Pieces.Max > 0 {
		g.documents++
		a.Document = g.documents
		a.Pieces = extend(a, c.Pieces.Draw(g.random))
	}
	return a
}

// scheduleReturn draws whether and when the document of a returns.
func (g *generator) scheduleReturn(a Arrival) {
	c := &g.config.Deployment.Classes[a.Class]
	if a.Document == 0 || g.random.Float64() >= c.ReturnProbability {
		return
	}
	a.At += c.ReturnGap[0] + time.Duration(g.random.Int64N(int64(c.ReturnGap[1]-c.ReturnGap[0])))
	a.Visit++
	a.Tail = c.Tail.Draw(g.random)
	a.Answer = c.Answer.Draw(g.random)
	a.Pieces = extend(a, c.Growth.Draw(g.random))
	g.add(a)
}

func (g *generator) add(a Arrival) {
	if a.At > g.config.Length {
		return
	}
	a.Number = g.count
	g.count++
	heap.Push(&g.pending, a)
}

func (g *generator) drawWorkspace() Workspace {
	all := g.config.Deployment.Workspaces
	left := g.random.Float64()
	for _, w := range all {
		left -= w.RequestShare
		if left < 0 {
			return w
		}
	}
	return all[len(all)-1]
}

// extend returns a's pieces with n more of its document.
func extend(a Arrival, n int) []uint64 {
	keys := make([]uint64, len(a.Pieces), len(a.Pieces)+n)
	copy(keys, a.Pieces)
	for range n {
		keys = append(keys, pieceKey(a.Workspace, a.Document, len(keys)))
	}
	return keys
}

// pieceKey returns the key of a piece. Document 0 stands for the first piece of a workspace's prompts.
func pieceKey(workspace string, document uint64, i int) uint64 {
	b := make([]byte, 16, 16+len(workspace))
	binary.LittleEndian.PutUint64(b, document)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return xxhash.Sum64(append(b, workspace...))
}
