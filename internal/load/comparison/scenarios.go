package comparison

import (
	"time"

	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/load/workload"
)

// Scenario is a set of failures during the measured time.
type Scenario struct {
	// Name is the scenario's kebab-case name.
	Name string
	// Failures returns the failures of a deployment if the measured time is length.
	Failures func(d workload.Deployment, length time.Duration) []model.Failure
}

// Scenarios returns the scenarios in which each variant is measured at full load. A
// failure begins after a fifth of the measured time and lasts for two fifths.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "store-dies", Failures: singleFailure(model.StoreCrash, 0)},
		{Name: "link-slows-tenfold", Failures: singleFailure(model.LinkSlowdown, 0)},
		{Name: "third-of-servers-lost", Failures: thirdOfServersLost},
		{Name: "entry-killed", Failures: singleFailure(model.EntryCrash, 2)},
	}
}

func singleFailure(kind model.FailureKind, index int) func(workload.Deployment, time.Duration) []model.Failure {
	return func(_ workload.Deployment, length time.Duration) []model.Failure {
		return []model.Failure{{Kind: kind, Index: index, At: length / 5, Until: length * 3 / 5}}
	}
}

// thirdOfServersLost fails a third of the servers of each role.
func thirdOfServersLost(d workload.Deployment, length time.Duration) []model.Failure {
	reserve := d.Reserve / 3
	lost := (d.Servers+d.Reserve)/3 - reserve
	return []model.Failure{
		{Kind: model.ServerCrash, Index: 0, Count: lost, At: length / 5, Until: length * 3 / 5},
		{Kind: model.ServerCrash, Index: d.Servers, Count: reserve, At: length / 5, Until: length * 3 / 5},
	}
}
