package site

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hornbeamwood/internal/serve/choose"
	"hornbeamwood/internal/serve/limit"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/site/directory"
)

const (
	// newsDelay is how old the loads are that an entry knows of the others.
	newsDelay = 300 * time.Millisecond
	// serviceTime is how long an engine takes for a short prompt.
	serviceTime = 150 * time.Millisecond
	// callerTokens is the size of a short prompt.
	callerTokens = 400
)

// world is a site with many entries in virtual time.
type world struct {
	random  *rand.Rand
	now     time.Time
	engines []directory.Server
	entries []limit.Limits
	// arrivals are the times of the requests at each engine.
	arrivals [][]time.Time
}

func newWorld(engines, entries, zones int, seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), arrivals: make([][]time.Time, engines)}
	for i := range engines {
		w.engines = append(w.engines, directory.Server{ID: fmt.Sprint("e", i), Zone: zone(i % zones), Slots: 64})
	}
	logger := &log.Logger{Handler: discard.New()}
	for range entries {
		l := limit.New(limit.Config{Random: w.random.Float64, Logger: logger})
		l.SetEntries(entries)
		w.entries = append(w.entries, l)
	}
	return w
}

func zone(i int) string { return fmt.Sprint("z", i) }

// inFlight returns the load of an engine as the entries know it now.
func (w *world) inFlight(engine int) int {
	n := 0
	for k := len(w.arrivals[engine]) - 1; k >= 0; k-- {
		age := w.now.Sub(w.arrivals[engine][k])
		if age > newsDelay+serviceTime {
			break
		}
		if age >= newsDelay {
			n++
		}
	}
	return n
}

// send lets a random entry choose an engine for a short prompt and send it, unless none may get it now.
func (w *world) send() {
	i := w.random.IntN(len(w.entries))
	var all []choose.Candidate
	var at []int
	for e, s := range w.engines {
		if w.entries[i].Wait(s.ID, w.now) == 0 {
			all, at = append(all, choose.Candidate{Server: s, Stats: observe.ServerStats{InFlight: w.inFlight(e)}}), append(at, e)
		}
	}
	p := choose.EnginePicker{
		Now: w.now, Zone: zone(i % 4), Capacity: 80_000, Entries: len(w.entries), Random: w.random,
		Parts: []choose.Part{{Salt: "m/1", ID: fmt.Sprint(w.random.Uint64()), Tokens: callerTokens}},
	}.Pick(all)
	if p.Index < 0 {
		return
	}
	e := at[p.Index]
	if _, ok := w.entries[i].Reserve(w.engines[e].ID, 0, w.now); ok {
		w.arrivals[e] = append(w.arrivals[e], w.now)
	}
}

// run sends requests at random times with the given mean rate until the time has passed.
func (w *world) run(perSecond float64, d time.Duration) {
	end := w.now.Add(d)
	for {
		w.now = w.now.Add(time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second)))
		if w.now.After(end) {
			w.now = end
			return
		}
		w.send()
	}
}

// mostInASecond returns the largest number of requests that the engine got in any second.
func (w *world) mostInASecond(engine int) int {
	most, first := 0, 0
	for k, t := range w.arrivals[engine] {
		for t.Sub(w.arrivals[engine][first]) >= time.Second {
			first++
		}
		most = max(most, k-first+1)
	}
	return most
}
