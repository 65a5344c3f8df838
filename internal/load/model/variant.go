package model

import "hornbeamwood/internal/policy/route"

// Variant is a strategy under comparison with its settings.
type Variant struct {
	// Name is the name of its row in the comparison.
	Name string
	// Strategy returns a new strategy for one entry.
	Strategy func() route.Strategy
	// Exports is the rule for exports to stores after a run.
	Exports ExportRule
	// Admission reports whether requests that cannot meet their deadlines are refused at once.
	Admission bool
	// IgnoreWorth reports that admission does not compare requests by worth.
	IgnoreWorth bool
	// FairQueueing reports whether requests that are not urgent wait in a fair queue at the entry
	// while the backlog of each server exceeds fairness.BacklogThreshold.
	FairQueueing bool
}

// ExportRule is a rule for exports to stores.
type ExportRule uint8

const (
	// ExportNone exports nothing.
	ExportNone ExportRule = iota
	// ExportAll exports each piece that no store holds to the store selected by its hash.
	ExportAll
	// ExportWorth exports the pieces that the placement policy selects.
	ExportWorth
)
