package comparison

import (
	"golang.org/x/sync/errgroup"

	"hornbeamwood/internal/load/model"
)

// Measure returns a row for each case, in order.
func Measure(c Config, cases []Case) []Row {
	results := make([][]model.Result, len(cases))
	var g errgroup.Group
	g.SetLimit(max(c.Parallel, 1))
	for i := range cases {
		results[i] = make([]model.Result, len(c.Seeds))
		for s := range c.Seeds {
			g.Go(func() error {
				results[i][s] = model.Run(c.modelConfig(&cases[i], c.Seeds[s]))
				return nil
			})
		}
	}
	_ = g.Wait()
	rows := make([]Row, len(cases))
	for i := range cases {
		rows[i] = Row{Case: cases[i], Result: mean(results[i])}
	}
	return rows
}

func (c Config) modelConfig(x *Case, seed uint64) model.Config {
	return model.Config{
		Deployment: x.Deployment, Profile: c.Profile, Variant: x.Variant, Rate: x.Rate,
		Warmup: c.Warmup, Measured: c.Measured, Seed: seed, Failures: x.Failures, Flooder: x.Flooder,
	}
}
