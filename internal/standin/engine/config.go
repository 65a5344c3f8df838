package engine

import "time"

// Config is the size and behaviour of an engine.
type Config struct {
	// Identity, Zone and Address are what the engine announces.
	Identity, Zone, Address string
	// Models are what it holds at the start, all in WeightVersion.
	Models        []string
	WeightVersion string
	// Role is what it announces as its role.
	Role string
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
	// DecodeRate is in tokens a second of one request.
	DecodeRate float64
	// MaxRunning is the largest batch.
	MaxRunning int
	// CachePieces is the room of the prefix cache.
	CachePieces int
	// PieceBytes is the size of one exported piece.
	PieceBytes int
	// ChecksFencing says whether orders with an old fencing number are refused.
	ChecksFencing bool
	// WeightStore is the base URL of the weight store; empty loads at once.
	WeightStore string
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// EventLag is how late cache events are sent.
	EventLag time.Duration
	// EventLoss is the share of event batches that are lost.
	EventLoss float64
	// Seed starts the random choice of lost batches.
	Seed uint64
	// Started is the incarnation.
	Started time.Time
	// Crash is called when a prompt that holds CrashMarker runs; nil ignores the marker.
	Crash func()
}

// CrashMarker in a prompt crashes the engine that runs it.
const CrashMarker = "CRASH-THE-SERVER"
