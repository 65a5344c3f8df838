package comparison

import (
	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/load/workload"
)

// TableLoads are the loads, as fractions of the capacity, that have tables.
var TableLoads = []float64{0.5, 1, 1.5}

// plottedLoads are the loads, as fractions of the capacity, that are plotted.
var plottedLoads = []float64{0.5, 0.75, 1, 1.25, 1.5}

// ablationCells returns the policy and its ablations at full load and at overload.
func ablationCells(_ Config, d workload.Deployment, capacity float64) []Cell {
	all := append([]model.Variant{Policy(PolicyName)}, Ablations()...)
	return append(variantCells(d, capacity, 1, all), variantCells(d, capacity, 1.5, all)...)
}

// failureCells returns the policy and the baselines under each scenario at full load and under a flood.
func failureCells(c Config, d workload.Deployment, capacity float64) []Cell {
	var cells []Cell
	for _, s := range Scenarios() {
		for _, x := range variantCells(d, capacity, 1, append(Baselines(), Policy(PolicyName))) {
			x.Scenario = s.Name
			x.Failures = s.Failures(d, c.Measured)
			cells = append(cells, x)
		}
	}
	return append(cells, floodCells(d, capacity, floodVariants())...)
}

// loadCells returns the policy and the baselines at each plotted load.
func loadCells(_ Config, d workload.Deployment, capacity float64) []Cell {
	var cells []Cell
	for _, l := range plottedLoads {
		cells = append(cells, variantCells(d, capacity, l, append(Baselines(), Policy(PolicyName)))...)
	}
	return cells
}

func variantCells(d workload.Deployment, capacity, load float64, all []model.Variant) []Cell {
	cells := make([]Cell, len(all))
	for i, x := range all {
		cells[i] = Cell{Deployment: d, Variant: x, Load: load, Rate: load * capacity}
	}
	return cells
}
