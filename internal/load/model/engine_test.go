package model

import (
	"testing"
	"time"

	"hornbeamwood/internal/policy/route"
)

func newTestEngine(c *clock, pieces int) *engine {
	p := DefaultProfile()
	p.PrefillRate, p.ChunkTokens, p.StepTime, p.EnginePieces = 1000, 100, 0, pieces
	e := &engine{
		clock: c, profile: p, tokens: 100, decoding: map[*job]bool{},
		changed:      func(uint64, bool) {},
		computed:     func(uint64) bool { return false },
		missingPiece: func() {},
	}
	e.memory = newLRU(pieces, func(uint64) {})
	return e
}

// run submits a job and returns a pointer to the time of its first token, which is set later.
func (e *engine) run(priority, tokens int, pieces ...uint64) *time.Duration {
	at := new(time.Duration)
	e.submit(&job{
		priority: priority, extraTokens: tokens, pieces: pieces, plan: make([]route.Step, len(pieces)), answerTokens: 1,
		firstToken: func() { *at = e.clock.now }, finished: func() {}, failed: func() { *at = -1 },
	})
	return at
}

func TestUrgentOvertakesAtNextChunk(t *testing.T) {
	c := &clock{}
	e := newTestEngine(c, 4)
	draft := e.run(1, 1000)
	var urgent *time.Duration
	c.after(50*time.Millisecond, func() { urgent = e.run(7, 50) })
	c.runUntil(time.Minute)
	if *urgent < 150*time.Millisecond || *urgent > 210*time.Millisecond || *draft < time.Second {
		t.Errorf("urgent at %v, draft at %v", *urgent, *draft)
	}
}

func TestHeldPiecesAreNotComputed(t *testing.T) {
	c := &clock{}
	e := newTestEngine(c, 4)
	first := e.run(1, 10, 1, 2, 3)
	c.runUntil(time.Second)
	again := e.run(1, 10, 1, 2, 3)
	c.runUntil(2 * time.Second)
	if *first < 300*time.Millisecond || *again > 1100*time.Millisecond {
		t.Errorf("first after %v, again at %v", *first, *again)
	}
}

// An engine is lost with jobs queued and running. Each job must fail at once, so that its entry can
// retry on another server while there is time.
func TestLostEngineFailsItsJobs(t *testing.T) {
	c := &clock{}
	e := newTestEngine(c, 4)
	a, b := e.run(1, 1000), e.run(1, 1000)
	c.after(50*time.Millisecond, e.crash)
	c.runUntil(time.Minute)
	if *a != -1 || *b != -1 {
		t.Errorf("first tokens at %v and %v", *a, *b)
	}
}
