package comparison

import (
	"time"

	"hornbeamwood/internal/load/model"
)

// mean returns the mean of each metric, but the minimum of LeastServed and the sum of Wrong. Counts are rounded down.
func mean(all []model.Result) model.Result {
	var m model.Result
	n := float64(len(all))
	m.Classes = meanClasses(all)
	m.LinkBytes = make([]int64, len(all[0].LinkBytes))
	m.LinkBusy = make([]float64, len(all[0].LinkBusy))
	m.LeastServed = all[0].LeastServed
	for i := range all {
		r := &all[i]
		m.Arrived += r.Arrived
		m.Answered += r.Answered
		m.Refused += r.Refused
		m.Late += r.Late
		m.Lost += r.Lost
		m.Wrong += r.Wrong
		m.Recomputed += r.Recomputed / n
		m.Goodput += r.Goodput / n
		m.Worth += r.Worth / n
		m.WorthShare += r.WorthShare / n
		m.LeastServed = min(m.LeastServed, r.LeastServed)
		addLinks(&m, r, n)
	}
	for _, count := range []*int{&m.Arrived, &m.Answered, &m.Refused, &m.Late, &m.Lost} {
		*count /= len(all)
	}
	return m
}

func addLinks(m, r *model.Result, n float64) {
	for s := range r.LinkBytes {
		m.LinkBytes[s] += int64(float64(r.LinkBytes[s]) / n)
		m.LinkBusy[s] += r.LinkBusy[s] / n
	}
}

func meanClasses(all []model.Result) []model.ClassResult {
	classes := make([]model.ClassResult, len(all[0].Classes))
	n := len(all)
	for k := range classes {
		c := &classes[k]
		c.Name = all[0].Classes[k].Name
		for i := range all {
			x := &all[i].Classes[k]
			c.Arrived += x.Arrived
			c.Answered += x.Answered
			c.Refused += x.Refused
			c.P50 += x.P50
			c.P95 += x.P95
			c.P99 += x.P99
		}
		for _, count := range []*int{&c.Arrived, &c.Answered, &c.Refused} {
			*count /= n
		}
		for _, d := range []*time.Duration{&c.P50, &c.P95, &c.P99} {
			*d /= time.Duration(n)
		}
	}
	return classes
}
