package comparison

import (
	"fmt"
	"math"
)

// BaselineComparison compares the policy with the best baseline in one column.
type BaselineComparison struct {
	// Column is the name of the metric.
	Column string
	// Policy is the policy's value.
	Policy float64
	// Best is the best baseline's value.
	Best float64
	// Baseline is the name of the best baseline.
	Baseline string
}

// compareColumns returns a comparison for each column, and whether there is a baseline that keep
// accepts. The last row is the policy's.
func compareColumns(rows []Row, keep func(r *Row) bool) ([]BaselineComparison, bool) {
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
	var all []BaselineComparison
	for _, c := range columns(policy) {
		all = append(all, c.compareBaselines(policy, baselines))
	}
	return all, true
}

func (c column) compareBaselines(policy *Row, baselines []*Row) BaselineComparison {
	v := BaselineComparison{Column: c.name, Policy: c.value(policy), Best: math.NaN()}
	for _, r := range baselines {
		if math.IsNaN(v.Best) || c.better(c.value(r), v.Best) {
			v.Best, v.Baseline = c.value(r), r.Cell.Variant.Name
		}
	}
	return v
}

// meetsAnsweredShare reports whether a row answers at least 99 of 100 requests in time.
func meetsAnsweredShare(r *Row) bool {
	return notAnswered(r) <= 1-answeredShare
}

// anyRow accepts every row.
func anyRow(*Row) bool { return true }

// String returns the comparison as a table row.
func (v BaselineComparison) String() string {
	return line([]string{
		v.Column, fmt.Sprintf("%.3f", v.Policy), fmt.Sprintf("%.3f", v.Best), v.Baseline, v.ratio(),
	})
}

// ratio returns the policy's value divided by the best baseline's.
func (v BaselineComparison) ratio() string {
	if v.Policy == v.Best {
		return "1.00"
	}
	if v.Best == 0 {
		return "best is 0"
	}
	return fmt.Sprintf("%.2f", v.Policy/v.Best)
}
