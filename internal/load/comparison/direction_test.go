package comparison

import (
	"math"
	"reflect"
	"testing"

	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/load/workload"
	"hornbeamwood/internal/policy/baseline"
	"hornbeamwood/internal/policy/route"
)

// Request rates of the short runs, close to the largest at which least loaded answers 99 of 100 requests in time in these runs.
const (
	certiloteRate   = 30
	associationRate = 20
)

// testVariants returns the baselines without stores, followed by the policy.
func testVariants() []model.Variant {
	var all []model.Variant
	for _, build := range []func(baseline.Config) route.Strategy{
		baseline.NewRoundRobin, baseline.NewLeastLoaded, baseline.NewPrefixHash,
	} {
		all = append(all, newVariant(build, baseline.Config{}, model.ExportNone))
	}
	return append(all, Policy(PolicyName))
}

// bestBaseline returns the smallest value of the baselines among rows, and the policy's value.
func bestBaseline(rows []Row, value func(r *Row) float64) (best, policy float64) {
	best = math.Inf(1)
	for i := range rows[:len(rows)-1] {
		best = min(best, value(&rows[i]))
	}
	return best, value(&rows[len(rows)-1])
}

// A truck waits at the gate while drafts occupy the engines. This detects a change of
// the policy that queues status reads behind drafts.
func TestStatusReadsStayAheadOfDrafts(t *testing.T) {
	rows := Measure(Short(), variantCases(workload.Certilote(), certiloteRate, 1, testVariants()))
	best, policy := bestBaseline(rows, func(r *Row) float64 {
		c, _ := r.Class(workload.StatusRead)
		return c.P95.Seconds()
	})
	if policy > best/2 {
		t.Errorf("status reads p95: %.3f s, best baseline %.3f s", policy, best)
	}
	bestShare, policyShare := bestBaseline(rows, notAnswered)
	if policyShare > bestShare {
		t.Errorf("not answered: %.4f, best baseline %.4f", policyShare, bestShare)
	}
}

// Logbooks return after they have been evicted from engine memory. This detects a
// change that no longer exports or finds their pieces, so that engines recompute them.
func TestLogbooksAreSeldomRecomputed(t *testing.T) {
	rows := Measure(Short(), variantCases(workload.Association(), associationRate, 1, testVariants()))
	best, policy := bestBaseline(rows, func(r *Row) float64 { return r.Result.Recomputed })
	if policy > best/2 {
		t.Errorf("recomputed: %.3f, best baseline %.3f", policy, best)
	}
	bestNegated, policyNegated := bestBaseline(rows, func(r *Row) float64 { return -r.Result.WorthShare })
	if policyNegated > bestNegated+0.005 {
		t.Errorf("worth served: %.3f, best baseline %.3f", -policyNegated, -bestNegated)
	}
}

// The load is 1.5 times the capacity. If work for requests that are not answered in
// time displaces other work, fewer requests are answered than at full load.
func TestOverloadDoesNotLowerGoodput(t *testing.T) {
	own := []model.Variant{Policy(PolicyName)}
	var cases []Case
	for _, load := range []float64{1, 1.5} {
		cases = append(cases, variantCases(workload.Certilote(), certiloteRate*load, 1, own)...)
		cases = append(cases, variantCases(workload.Association(), associationRate*load, 1, own)...)
	}
	rows := Measure(Short(), cases)
	for i := range 2 {
		full, over := &rows[i], &rows[i+2]
		name := full.Case.Deployment.Name
		if over.Result.Goodput < full.Result.Goodput {
			t.Errorf("%s: %.2f answered a second at full load, %.2f at overload", name, full.Result.Goodput, over.Result.Goodput)
		}
		if n := over.Result.Wrong + full.Result.Wrong; n != 0 {
			t.Errorf("%s: %d wrong answers", name, n)
		}
	}
}

// If rows differed between runs, a comparison could not distinguish a change of the
// policy from noise.
func TestSameSeedGivesSameRows(t *testing.T) {
	cases := variantCases(workload.Association(), associationRate, 1, []model.Variant{Policy(PolicyName)})
	rows := Measure(Short(), append(cases, cases...))
	if a, b := rows[0].Result, rows[1].Result; !reflect.DeepEqual(a, b) {
		t.Errorf("two runs differ:\n%+v\n%+v", a, b)
	}
}
