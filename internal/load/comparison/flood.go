package comparison

import (
	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/load/workload"
)

// FloodName is the scenario in which a small workspace sends as much as half of the capacity.
const FloodName = "one-workspace-floods"

// floodFactor is the load with the flood over the load without it.
const floodFactor = 1.5

// flooded returns the baselines and the policy with and without fair queueing.
func flooded() []model.Contender {
	unfair := Policy("without fair queueing")
	unfair.Fair = false
	return append(Baselines(), unfair, Policy(PolicyName))
}

// floodCells returns contenders at full load when a small workspace sends half of the capacity besides.
func floodCells(d workload.Deployment, capacity float64, all []model.Contender) []Cell {
	flooder := d.Customers[len(d.Customers)-1].Workspace
	cells := contenderCells(d.WithFlood(flooder, floodFactor), capacity, floodFactor, all)
	for i := range cells {
		cells[i].Scenario = FloodName
		cells[i].Flooder = flooder
	}
	return cells
}
