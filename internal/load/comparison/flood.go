package comparison

import (
	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/load/workload"
)

// FloodName is the scenario in which a small workspace sends half of the capacity in addition.
const FloodName = "one-workspace-floods"

// floodFactor is the load with the flood divided by the load without it.
const floodFactor = 1.5

// floodVariants returns the baselines and the policy with and without fair queueing.
func floodVariants() []model.Variant {
	withoutFairQueueing := Policy("without fair queueing")
	withoutFairQueueing.FairQueueing = false
	return append(Baselines(), withoutFairQueueing, Policy(PolicyName))
}

// floodCases returns cases at full load in which a small workspace sends half of the capacity in addition.
func floodCases(d workload.Deployment, capacity float64, all []model.Variant) []Case {
	floodingWorkspace := d.Workspaces[len(d.Workspaces)-1].Name
	cases := variantCases(d.WithFlood(floodingWorkspace, floodFactor), capacity, floodFactor, all)
	for i := range cases {
		cases[i].Scenario = FloodName
		cases[i].Flooder = floodingWorkspace
	}
	return cases
}
