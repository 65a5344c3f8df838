package comparison

import (
	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/load/workload"
)

// Case is one combination to measure: a variant under a load and a scenario.
type Case struct {
	// Deployment defines sizes and classes.
	Deployment workload.Deployment
	// Variant is the routing strategy with its options that is measured.
	Variant model.Variant
	// Scenario names the failure; empty means none.
	Scenario string
	// Load is the load as a fraction of the capacity.
	Load float64
	// Rate is the number of requests a second.
	Rate float64
	// Flooder is the workspace that floods; empty means none.
	Flooder string
	// Failures are injected during the run.
	Failures []model.Failure
}
