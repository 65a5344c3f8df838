package comparison

import (
	"fmt"
	"math"
)

// Column is one figure by which strategies are compared.
type Column struct {
	// Name is the column's name.
	Name string
	// Value returns the figure.
	Value func(r *Row) float64
	// HigherIsBetter says which way is better.
	HigherIsBetter bool
}

// Columns returns the columns of a deployment.
func Columns(r *Row) []Column {
	var all []Column
	for i, c := range r.Cell.Deployment.Classes {
		if c.Service != "" {
			continue
		}
		all = append(all,
			Column{Name: c.Name + " p50", Value: func(r *Row) float64 { return r.Result.Classes[i].P50.Seconds() }},
			Column{Name: c.Name + " p95", Value: func(r *Row) float64 { return r.Result.Classes[i].P95.Seconds() }},
			Column{Name: c.Name + " p99", Value: func(r *Row) float64 { return r.Result.Classes[i].P99.Seconds() }})
	}
	return append(all,
		Column{Name: "recomputed", Value: func(r *Row) float64 { return r.Result.Recomputed }},
		Column{Name: "link GB", Value: func(r *Row) float64 { return gigabytes(&r.Result) }},
		Column{Name: "not answered", Value: notAnswered},
		Column{Name: "worth served", Value: func(r *Row) float64 { return r.Result.WorthShare }, HigherIsBetter: true},
		Column{Name: "least-served workspace", Value: func(r *Row) float64 { return r.Result.LeastServed }, HigherIsBetter: true},
		Column{Name: "answered per s", Value: func(r *Row) float64 { return r.Result.Goodput }, HigherIsBetter: true})
}

func notAnswered(r *Row) float64 {
	x := &r.Result
	return float64(x.Arrived-x.Answered) / float64(max(x.Arrived, 1))
}

// Verdict compares the policy with the best baseline of one column.
type Verdict struct {
	// Column is the figure.
	Column string
	// Policy is the policy's value.
	Policy float64
	// Best is the best baseline's value.
	Best float64
	// Baseline is the best baseline.
	Baseline string
}

// Ratio returns the policy's value over the best baseline's.
func (v Verdict) Ratio() float64 {
	if v.Policy == v.Best {
		return 1
	}
	return v.Policy / v.Best
}

// Compare returns a verdict for each column: the last row is the policy's, the others are baselines
// of which those that keep refuses are left out.
func Compare(rows []Row, keep func(r *Row) bool) []Verdict {
	policy := &rows[len(rows)-1]
	var all []Verdict
	for _, c := range Columns(policy) {
		v := Verdict{Column: c.Name, Policy: c.Value(policy), Best: math.NaN()}
		for i := range rows[:len(rows)-1] {
			r := &rows[i]
			if keep(r) && (math.IsNaN(v.Best) || better(c, c.Value(r), v.Best)) {
				v.Best, v.Baseline = c.Value(r), r.Cell.Contender.Name
			}
		}
		all = append(all, v)
	}
	return all
}

func better(c Column, a, b float64) bool {
	if c.HigherIsBetter {
		return a > b
	}
	return a < b
}

// Serves says whether a row answers at least 99 of 100 requests in time.
func Serves(r *Row) bool {
	return notAnswered(r) <= 1-answeredShare
}

// Any keeps every row.
func Any(*Row) bool { return true }

// String returns the verdict as a table row.
func (v Verdict) String() string {
	return line([]string{
		v.Column, fmt.Sprintf("%.3f", v.Policy), fmt.Sprintf("%.3f", v.Best), v.Baseline, fmt.Sprintf("%.2f", v.Ratio()),
	})
}
