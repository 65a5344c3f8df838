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
	b := BaselineComparison{Column: c.name, Policy: c.value(policy), Best: math.NaN()}
	for _, r := range baselines {
		if math.IsNaN(b.Best) || c.better(c.value(r), b.Best) {
			b.Best, b.Baseline = c.value(r), r.Case.Variant.Name
		}
	}
	return b
}

// meetsAnsweredShare reports whether a row answers at least 99 of 100 requests in time.
func meetsAnsweredShare(r *Row) bool {
	return notAnswered(r) <= 1-answeredShare
}

// anyRow accepts every row.
func anyRow(*Row) bool { return true }

// String returns the comparison as a table row.
func (b BaselineComparison) String() string {
	return markdownRow([]string{
		b.Column, fmt.Sprintf("%.3f", b.Policy), fmt.Sprintf("%.3f", b.Best), b.Baseline, b.ratio(),
	})
}

// ratio returns the policy's value divided by the best baseline's.
func (b BaselineComparison) ratio() string {
	if b.Policy == b.Best {
		return "1.00"
	}
	if b.Best == 0 {
		return "best is 0"
	}
	return fmt.Sprintf("%.2f", b.Policy/b.Best)
}
