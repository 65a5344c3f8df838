package model

import "time"

// Profile holds the figures of the fakes.
type Profile struct {
	// PrefillRate is an engine's prefill speed in tokens a second.
	PrefillRate float64
	// DecodeRate is the decode speed of one request in tokens a second.
	DecodeRate float64
	// MaxRunning is an engine's largest batch.
	MaxRunning int
	// ChunkTokens is the number of prompt tokens that an engine computes in one step.
	ChunkTokens int
	// StepTime is the fixed time of a step.
	StepTime time.Duration
	// DecodeSlowdown is the part by which a full batch of answers slows prefill.
	DecodeSlowdown float64
	// EnginePieces is the number of cache pieces in engine memory.
	EnginePieces int
	// PieceBytes is the size of a cache piece.
	PieceBytes int64
	// LinkRate is the speed of a store's link in bytes a second, both directions together.
	LinkRate float64
	// DiskRate is the speed of a store's disk in bytes a second.
	DiskRate float64
	// MemoryPieces is the number of pieces in a store's memory.
	MemoryPieces int
	// DiskPieces is the number of pieces on a store's disk.
	DiskPieces int
	// ReportEvery is the time between load reports.
	ReportEvery time.Duration
	// ReportLag is how long a report takes to each entry, from shortest to longest.
	ReportLag [2]time.Duration
	// GossipEvery is the time between two messages of an entry on its work in flight.
	GossipEvery time.Duration
	// EventLag is how late a cache event is.
	EventLag time.Duration
	// EventLoss is the part of cache events that are lost.
	EventLoss float64
	// ListEvery is the time between listings that close gaps.
	ListEvery time.Duration
	// SilentAfter is the age of a report after which a server is suspect.
	SilentAfter time.Duration
}

// DefaultProfile returns the figures that docs/MEASUREMENTS.md is measured with.
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
