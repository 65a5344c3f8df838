package model

import (
	"time"

	"hornbeamwood/internal/load/workload"
)

// outcome says how a request ended.
type outcome uint8

const (
	open outcome = iota
	answered
	refused
	late
	lost
)

// request is one arrival on its way.
type request struct {
	arrival  workload.Arrival
	class    *workload.Class
	outcome  outcome
	entry    *entry
	job      *job
	server   int
	attempt  int
	record   *record
	ttft     time.Duration
	expected time.Duration
	sent     time.Duration
	// computed counts the tokens of pieces that had been computed before, and all prompt tokens.
	recomputed int
	prompt     int
}
