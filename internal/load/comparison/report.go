package comparison

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"hornbeamwood/internal/load/workload"
)

// Report holds all rows of one deployment.
type Report struct {
	// Deployment gives sizes and classes.
	Deployment workload.Deployment
	// Capacity is the load that the servers can carry, in requests a second.
	Capacity float64
	// Curve has the policy and the baselines at each load.
	Curve []Row
	// Failures has them under each scenario at full load.
	Failures []Row
	// Flood has them, and the policy without fair queueing, when one workspace floods.
	Flood []Row
	// Ablations has the policy without each element.
	Ablations []Row
}

// Run returns the report of a deployment.
func Run(c Config, d workload.Deployment) Report {
	r := Report{Deployment: d, Capacity: Capacity(c, d)}
	r.Curve = Measure(c, CurveCells(d, r.Capacity))
	r.Failures = Measure(c, FailureCells(c, d, r.Capacity))
	r.Flood = Measure(c, FloodCells(d, r.Capacity, flooded()))
	r.Ablations = Measure(c, AblationCells(d, r.Capacity))
	return r
}

// Write writes the report as Markdown.
func (r Report) Write(w io.Writer) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "## %s\n\nCapacity: %.1f requests a second.\n", r.Deployment.Name, r.Capacity)
	r.writeLoads(b)
	r.writeVerdicts(b)
	r.writeFailures(b)
	fmt.Fprintf(b, "\n### %s\n\n", FloodName)
	_ = WriteTable(b, r.Flood)
	fmt.Fprintf(b, "\n### Without each element\n\n")
	_ = WriteTable(b, r.Ablations)
	_, err := io.WriteString(w, b.String())
	return err
}

func (r Report) writeLoads(b *strings.Builder) {
	for _, l := range Loads {
		fmt.Fprintf(b, "\n### Load %.1f\n\n", l)
		_ = WriteTable(b, r.At(l))
	}
}

// At returns the rows of the curve at one load.
func (r Report) At(load float64) []Row {
	return slices.Collect(func(yield func(Row) bool) {
		for _, x := range r.Curve {
			if x.Cell.Load == load && !yield(x) {
				return
			}
		}
	})
}

func (r Report) writeVerdicts(b *strings.Builder) {
	for _, l := range Loads {
		fmt.Fprintf(b, "\n### The policy and the best baseline of each column at load %.1f\n", l)
		rows := r.At(l)
		writeVerdicts(b, "of all baselines", Compare(rows, Any))
		writeVerdicts(b, "of the baselines that answer 99 of 100 requests in time", Compare(rows, Serves))
	}
}

func writeVerdicts(b *strings.Builder, what string, all []Verdict) {
	fmt.Fprintf(b, "\nBest %s:\n\n", what)
	b.WriteString(line([]string{"column", "policy", "best", "baseline", "ratio"}) + "\n")
	b.WriteString(line(dashes(5)) + "\n")
	for _, v := range all {
		b.WriteString(v.String() + "\n")
	}
}

func (r Report) writeFailures(b *strings.Builder) {
	for _, s := range Scenarios() {
		fmt.Fprintf(b, "\n### Failure at full load: %s\n\n", s.Name)
		_ = WriteTable(b, r.under(s.Name))
	}
}

func (r Report) under(scenario string) []Row {
	var rows []Row
	for _, x := range r.Failures {
		if x.Cell.Scenario == scenario {
			rows = append(rows, x)
		}
	}
	return rows
}
