package model

import "time"

// Profile holds the parameters of the simulated engines, stores and links.
type Profile struct {
	// PrefillRate is the prefill rate of an engine in tokens per second.
	PrefillRate float64
	// DecodeRate is the decode rate of one request in tokens per second.
	DecodeRate float64
	// MaxRunning is the largest batch of an engine.
	MaxRunning int
	// ChunkTokens is the number of prompt tokens that an engine computes in one step.
	ChunkTokens int
	// StepTime is the fixed overhead of a step.
	StepTime time.Duration
	// DecodeSlowdown is the fraction by which a full batch of decoding requests slows prefill.
	DecodeSlowdown float64
	// EnginePieces is the capacity of engine memory in cache pieces.
	EnginePieces int
	// PieceBytes is the size of a cache piece.
	PieceBytes int64
	// LinkRate is the rate of a store's link in bytes per second, both directions together.
	LinkRate float64
	// DiskRate is the rate of a store's disk in bytes per second.
	DiskRate float64
	// MemoryPieces is the capacity of a store's memory in pieces.
	MemoryPieces int
	// DiskPieces is the capacity of a store's disk in pieces.
	DiskPieces int
	// ReportEvery is the interval between load reports.
	ReportEvery time.Duration
	// ReportLag is the range of the delay of a report to each entry, from shortest to longest.
	ReportLag [2]time.Duration
	// GossipEvery is the interval between the messages of an entry about its work in flight.
	GossipEvery time.Duration
	// EventLag is the delay of a cache event.
	EventLag time.Duration
	// EventLoss is the fraction of cache events that are lost.
	EventLoss float64
	// ListEvery is the interval between full listings, which repair lost events.
	ListEvery time.Duration
	// SilentAfter is the age of a report after which a server is suspect.
	SilentAfter time.Duration
}

// DefaultProfile returns the parameters with which docs/MEASUREMENTS.md was measured.
func DefaultProfile() Profile {
	return Profile{
		PrefillRate:    10000,
		DecodeRate:     40,
		MaxRunning:     32,
		ChunkTokens:    2048,
		StepTime:       5 * time.Millisecond,
		DecodeSlowdown: 0.5,
		EnginePieces:   60,
		PieceBytes:     256 << 20,
		LinkRate:       2.5e9,
		DiskRate:       1.2e9,
		MemoryPieces:   800,
		DiskPieces:     4000,
		ReportEvery:    time.Second,
		ReportLag:      [2]time.Duration{100 * time.Millisecond, 400 * time.Millisecond},
		GossipEvery:    100 * time.Millisecond,
		EventLag:       500 * time.Millisecond,
		EventLoss:      0.02,
		ListEvery:      20 * time.Second,
		SilentAfter:    3 * time.Second,
	}
}
