package comparison

import (
	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/policy/baseline"
	"hornbeamwood/internal/policy/route"
)

// PolicyName is the row of the policy under test.
const PolicyName = "hornbeamwood"

// Policy returns the policy under test, without the named elements.
func Policy(name string, without ...string) model.Contender {
	return model.Contender{
		Name: name,
		Strategy: func() route.Strategy {
			return route.New(route.Config{Name: name, Without: without})
		},
		Exports:   model.ExportWorth,
		Admission: true,
		Fair:      true,
	}
}

// Baselines returns round robin, least loaded and prefix hash, each with engine
// memory alone and with stores: every piece is exported after a run and every
// missing piece that a store holds is imported. Least loaded comes also with a fixed
// division of the servers by role.
func Baselines() []model.Contender {
	var all []model.Contender
	for _, build := range []func(baseline.Config) route.Strategy{
		baseline.NewRoundRobin, baseline.NewLeastLoaded, baseline.NewPrefixHash,
	} {
		all = append(all, contender(build, baseline.Config{}, model.ExportNone))
		all = append(all, contender(build, baseline.Config{Imports: true}, model.ExportAll))
	}
	divided := func(c baseline.Config) route.Strategy { return baseline.NewByRole(baseline.NewLeastLoaded(c)) }
	all = append(all, contender(divided, baseline.Config{}, model.ExportNone))
	return append(all, contender(divided, baseline.Config{Imports: true}, model.ExportAll))
}

func contender(build func(baseline.Config) route.Strategy, c baseline.Config, e model.ExportRule) model.Contender {
	return model.Contender{
		Name:     build(c).Name(),
		Strategy: func() route.Strategy { return build(c) },
		Exports:  e,
	}
}
