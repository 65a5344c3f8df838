package model

import "hornbeamwood/internal/policy/route"

// job is a request at an engine.
type job struct {
	priority   int
	order      uint64
	pieces     []uint64
	plan       []route.Step
	extra      int // prompt tokens after the pieces, or the work of a plain call
	answer     int
	left       int // prompt tokens still to compute
	imports    int // pieces still to arrive
	started    bool
	gone       bool // the caller no longer waits, or the engine is lost
	pinned     []uint64
	missing    []uint64 // pieces that the engine computes
	recomputed int      // of missing, those that some engine had computed before

	firstToken func()
	finished   func()
	failed     func()
}
