package comparison

// column is one metric by which strategies are compared.
type column struct {
	name           string
	value          func(r *Row) float64
	higherIsBetter bool
}

// columns returns the columns of a deployment.
func columns(r *Row) []column {
	var all []column
	for i, c := range r.Case.Deployment.Classes {
		if c.Service != "" {
			continue
		}
		all = append(all,
			column{name: c.Name + " p50", value: func(r *Row) float64 { return r.Result.Classes[i].P50.Seconds() }},
			column{name: c.Name + " p95", value: func(r *Row) float64 { return r.Result.Classes[i].P95.Seconds() }},
			column{name: c.Name + " p99", value: func(r *Row) float64 { return r.Result.Classes[i].P99.Seconds() }})
	}
	return append(all,
		column{name: "recomputed", value: func(r *Row) float64 { return r.Result.Recomputed }},
		column{name: "link GB", value: func(r *Row) float64 { return linkGigabytes(&r.Result) }},
		column{name: "not answered", value: notAnswered},
		column{name: "worth served", value: func(r *Row) float64 { return r.Result.WorthShare }, higherIsBetter: true},
		column{name: "least-served workspace", value: func(r *Row) float64 { return r.Result.LeastServed }, higherIsBetter: true},
		column{name: "answered per s", value: func(r *Row) float64 { return r.Result.Goodput }, higherIsBetter: true})
}

func notAnswered(r *Row) float64 {
	x := &r.Result
	return float64(x.Arrived-x.Answered) / float64(max(x.Arrived, 1))
}

func (c column) better(a, b float64) bool {
	if c.higherIsBetter {
		return a > b
	}
	return a < b
}
