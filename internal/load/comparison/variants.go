package comparison

import (
	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/policy/baseline"
	"hornbeamwood/internal/policy/route"
)

// PolicyName is the name of the policy under test.
const PolicyName = "hornbeamwood"

// Policy returns the policy under test without the named elements.
func Policy(name string, without ...string) model.Variant {
	return model.Variant{
		Name: name,
		Strategy: func() route.Strategy {
			return route.New(route.Config{Name: name, Without: without})
		},
		Exports:      model.ExportWorth,
		Admission:    true,
		FairQueueing: true,
	}
}

// Baselines returns round robin, least loaded and prefix hash, each without and with
// stores. With stores, every piece is exported after a run, and every missing piece
// that a store holds is imported. Least loaded is also measured with a fixed division
// of the servers by role.
func Baselines() []model.Variant {
	var all []model.Variant
	for _, build := range []func(baseline.Config) route.Strategy{
		baseline.NewRoundRobin, baseline.NewLeastLoaded, baseline.NewPrefixHash,
	} {
		all = append(all, newVariant(build, baseline.Config{}, model.ExportNone))
		all = append(all, newVariant(build, baseline.Config{Imports: true}, model.ExportAll))
	}
	byRole := func(c baseline.Config) route.Strategy { return baseline.NewByRole(baseline.NewLeastLoaded(c)) }
	all = append(all, newVariant(byRole, baseline.Config{}, model.ExportNone))
	return append(all, newVariant(byRole, baseline.Config{Imports: true}, model.ExportAll))
}

func newVariant(build func(baseline.Config) route.Strategy, c baseline.Config, e model.ExportRule) model.Variant {
	return model.Variant{
		Name:     build(c).Name(),
		Strategy: func() route.Strategy { return build(c) },
		Exports:  e,
	}
}
