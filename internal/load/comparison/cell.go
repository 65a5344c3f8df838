package comparison

import (
	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/load/workload"
)

// Cell is one row to measure: a contender under a load and a scenario.
type Cell struct {
	// Deployment gives sizes and classes.
	Deployment workload.Deployment
	// Contender is what is measured.
	Contender model.Contender
	// Scenario names the failure, empty for none.
	Scenario string
	// Load is the part of the capacity.
	Load float64
	// Rate is the number of requests a second.
	Rate float64
	// Flooder is a workspace that sends too much; empty for none.
	Flooder string
	// Failures happen during the run.
	Failures []model.Failure
}
