package comparison

import (
	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/load/workload"
)

// TableLoads are the loads, as fractions of the capacity, that have tables.
var TableLoads = []float64{0.5, 1, 1.5}

// plottedLoads are the loads, as fractions of the capacity, that are plotted.
var plottedLoads = []float64{0.5, 0.75, 1, 1.25, 1.5}

// ablationCases returns the policy and its ablations at full load and at overload.
func ablationCases(_ Config, d workload.Deployment, capacity float64) []Case {
	all := append([]model.Variant{Policy(PolicyName)}, Ablations()...)
	return append(variantCases(d, capacity, 1, all), variantCases(d, capacity, 1.5, all)...)
}

// failureCases returns the policy and the baselines under each scenario at full load and under a flood.
func failureCases(c Config, d workload.Deployment, capacity float64) []Case {
	var cases []Case
	for _, s := range Scenarios() {
		for _, x := range variantCases(d, capacity, 1, append(Baselines(), Policy(PolicyName))) {
			x.Scenario = s.Name
			x.Failures = s.Failures(d, c.Measured)
			cases = append(cases, x)
		}
	}
	return append(cases, floodCases(d, capacity, floodVariants())...)
}

// loadCases returns the policy and the baselines at each plotted load.
func loadCases(_ Config, d workload.Deployment, capacity float64) []Case {
	var cases []Case
	for _, l := range plottedLoads {
		cases = append(cases, variantCases(d, capacity, l, append(Baselines(), Policy(PolicyName)))...)
	}
	return cases
}

func variantCases(d workload.Deployment, capacity, load float64, all []model.Variant) []Case {
	cases := make([]Case, len(all))
	for i, x := range all {
		cases[i] = Case{Deployment: d, Variant: x, Load: load, Rate: load * capacity}
	}
	return cases
}
