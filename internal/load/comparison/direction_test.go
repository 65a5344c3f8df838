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

// Rates of the short run, near the largest at which least loaded answers 99 of 100 in time there.
const (
	certiloteRate   = 30
	associationRate = 20
)

// rivals returns baselines with engine memory alone and the policy, which is the last.
func rivals() []model.Contender {
	var all []model.Contender
	for _, build := range []func(baseline.Config) route.Strategy{
		baseline.NewRoundRobin, baseline.NewLeastLoaded, baseline.NewPrefixHash,
	} {
		all = append(all, contender(build, baseline.Config{}, model.ExportNone))
	}
	return append(all, Policy(PolicyName))
}

// least returns the smallest value of the baselines among rows, and the policy's.
func least(rows []Row, value func(r *Row) float64) (best, policy float64) {
	best = math.Inf(1)
	for i := range rows[:len(rows)-1] {
		best = min(best, value(&rows[i]))
	}
	return best, value(&rows[len(rows)-1])
}

// A truck waits at the gate while drafts fill the engines. A change of the
// policy that sends status reads behind drafts again shows here.
func TestStatusReadsStayAheadOfDrafts(t *testing.T) {
	rows := Measure(Short(), contenderCells(workload.Certilote(), certiloteRate, 1, rivals()))
	best, policy := least(rows, func(r *Row) float64 {
		c, _ := r.Class(workload.StatusRead)
		return c.P95.Seconds()
	})
	if policy > best/2 {
		t.Errorf("status reads p95: %.3f s, best baseline %.3f s", policy, best)
	}
	late, own := least(rows, notAnswered)
	if own > late {
		t.Errorf("not answered: %.4f, best baseline %.4f", own, late)
	}
}

// Logbooks come back after they have left engine memory. A change that no
// longer finds or no longer writes their copies makes engines compute them again.
func TestLogbooksAreSeldomRecomputed(t *testing.T) {
	rows := Measure(Short(), contenderCells(workload.Association(), associationRate, 1, rivals()))
	best, policy := least(rows, func(r *Row) float64 { return r.Result.Recomputed })
	if policy > best/2 {
		t.Errorf("recomputed: %.3f, best baseline %.3f", policy, best)
	}
	worst, own := least(rows, func(r *Row) float64 { return -r.Result.WorthShare })
	if own > worst+0.005 {
		t.Errorf("worth served: %.3f, best baseline %.3f", -own, -worst)
	}
}

// Half as many requests again come than can be carried. If the work for those
// that are not answered crowds out the rest, fewer are answered than before.
func TestOverloadDoesNotLowerGoodput(t *testing.T) {
	own := []model.Contender{Policy(PolicyName)}
	var cells []Cell
	for _, load := range []float64{1, 1.5} {
		cells = append(cells, contenderCells(workload.Certilote(), certiloteRate*load, 1, own)...)
		cells = append(cells, contenderCells(workload.Association(), associationRate*load, 1, own)...)
	}
	rows := Measure(Short(), cells)
	for i := range 2 {
		full, over := &rows[i], &rows[i+2]
		name := full.Cell.Deployment.Name
		if over.Result.Goodput < full.Result.Goodput {
			t.Errorf("%s: %.2f answered a second at full load, %.2f beyond", name, full.Result.Goodput, over.Result.Goodput)
		}
		if n := over.Result.Wrong + full.Result.Wrong; n != 0 {
			t.Errorf("%s: %d wrong answers", name, n)
		}
	}
}

// A comparison whose rows differ from run to run can't tell a change of the
// policy from chance.
func TestSameSeedGivesSameRows(t *testing.T) {
	cells := contenderCells(workload.Association(), associationRate, 1, []model.Contender{Policy(PolicyName)})
	rows := Measure(Short(), append(cells, cells...))
	if a, b := rows[0].Result, rows[1].Result; !reflect.DeepEqual(a, b) {
		t.Errorf("two runs differ:\n%+v\n%+v", a, b)
	}
}
