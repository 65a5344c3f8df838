package comparison

import (
	"fmt"
	"math"
)

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

// compare returns a verdict for each column and whether there is a baseline that keep accepts; the
// last row is the policy's.
func compare(rows []Row, keep func(r *Row) bool) ([]Verdict, bool) {
	policy := &rows[len(rows)-1]
	var baselines []*Row
	for i := range rows[:len(rows)-1] {
		if keep(&rows[i]) {
			baselines = append(baselines, &rows[i])
		}
	}
	if len(baselines) == 0 {
		return nil, false
	}
	var all []Verdict
	for _, c := range columns(policy) {
		all = append(all, c.verdict(policy, baselines))
	}
	return all, true
}

func (c column) verdict(policy *Row, baselines []*Row) Verdict {
	v := Verdict{Column: c.name, Policy: c.value(policy), Best: math.NaN()}
	for _, r := range baselines {
		if math.IsNaN(v.Best) || c.better(c.value(r), v.Best) {
			v.Best, v.Baseline = c.value(r), r.Cell.Contender.Name
		}
	}
	return v
}

// serves says whether a row answers at least 99 of 100 requests in time.
func serves(r *Row) bool {
	return notAnswered(r) <= 1-answeredShare
}

// every keeps every row.
func every(*Row) bool { return true }

// String returns the verdict as a table row.
func (v Verdict) String() string {
	return line([]string{
		v.Column, fmt.Sprintf("%.3f", v.Policy), fmt.Sprintf("%.3f", v.Best), v.Baseline, v.ratio(),
	})
}

// ratio returns the policy's value over the best baseline's.
func (v Verdict) ratio() string {
	if v.Policy == v.Best {
		return "1.00"
	}
	if v.Best == 0 {
		return "best is 0"
	}
	return fmt.Sprintf("%.2f", v.Policy/v.Best)
}
