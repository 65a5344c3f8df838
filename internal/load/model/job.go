package model

import "hornbeamwood/internal/policy/route"

// job is a request at an engine.
type job struct {
	priority     int
	order        uint64
	pieces       []uint64
	plan         []route.Step
	extraTokens  int // prompt tokens after the pieces, or the work of a service call
	answerTokens int
	remaining    int // prompt tokens left to compute
	imports      int // imports in progress
	started      bool
	cancelled    bool // the caller has disconnected, or the engine is lost
	pinned       []uint64
	missing      []uint64 // pieces to compute
	recomputed   int      // number of missing pieces that some engine had computed before

	firstToken func()
	finished   func()
	failed     func()
}
