package engine

import "time"

// Config holds the size and the behavior of an engine.
type Config struct {
	// Identity, Zone and Address are what the engine announces.
	Identity, Zone, Address string
	// Models are the models that it has at the start, all in WeightVersion.
	Models        []string
	WeightVersion string
	// Role is the role that it announces.
	Role string
	// PrefillRate is the prefill rate in prompt tokens a second.
	PrefillRate float64
	// DecodeRate is the decode rate of one request in tokens a second.
	DecodeRate float64
	// MaxRunning is the size of the largest batch.
	MaxRunning int
	// CachePieces is the capacity of the prefix cache.
	CachePieces int
	// PieceBytes is the size of one exported piece.
	PieceBytes int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// WeightStore is the base URL of the weight store; without one, loads complete at once.
	WeightStore string
	// ReportLag is the delay of load reports.
	ReportLag time.Duration
	// EventLag is the delay of cache events.
	EventLag time.Duration
	// EventLoss is the share of event batches that are lost.
	EventLoss float64
	// Seed seeds the random choice of lost batches.
	Seed uint64
	// Started is the start time, which is announced as the incarnation.
	Started time.Time
	// Crash is called when a prompt that holds CrashMarker runs; nil ignores the marker.
	Crash func()
}

// CrashMarker in a prompt crashes the engine that runs it.
const CrashMarker = "CRASH-THE-SERVER"
