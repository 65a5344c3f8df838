package model

import "hornbeamwood/internal/policy/route"

// Contender is a strategy with what goes with it in a comparison.
type Contender struct {
	// Name is the row's name.
	Name string
	// Strategy returns a new strategy for one entry.
	Strategy func() route.Strategy
	// Exports is what is written to stores after a run.
	Exports ExportRule
	// Admission says whether what cannot make its deadline is refused at once.
	Admission bool
	// Worthless says that admission doesn't compare requests by their worth.
	Worthless bool
	// Fair says whether requests that are not urgent wait at the entry for their workspace's turn
	// while each server has more than the window of work.
	Fair bool
}

// ExportRule says what is written to stores.
type ExportRule uint8

const (
	// ExportNone writes nothing.
	ExportNone ExportRule = iota
	// ExportAll writes each piece that no store holds, to the store that its hash names.
	ExportAll
	// ExportWorth asks the placement policy.
	ExportWorth
)
