package model

import (
	"time"

	"hornbeamwood/internal/load/workload"
)

// outcome is how a request ended; open is one that has not ended.
type outcome uint8

const (
	open outcome = iota
	answered
	refused
	expired
	lost
)

// request is the state of one arrival.
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
	// recomputed is the number of tokens in pieces that had been computed before; prompt is the
	// number of all prompt tokens.
	recomputed int
	prompt     int
}
