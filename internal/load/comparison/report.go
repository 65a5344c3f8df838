package comparison

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"hornbeamwood/internal/load/workload"
)

// Report is one part of the comparison for one deployment.
type Report struct {
	// Part names the part.
	Part string
	// Deployment defines sizes and classes.
	Deployment workload.Deployment
	// Capacity is the load that the servers can sustain, in requests a second.
	Capacity float64
	// Rows are the measured rows.
	Rows  []Row
	write func(b *strings.Builder, rows []Row)
}

// Part is a part of the comparison that can be run separately.
type Part struct {
	// Name is the kebab-case name.
	Name  string
	cases func(c Config, d workload.Deployment, capacity float64) []Case
	write func(b *strings.Builder, rows []Row)
}

// LoadsPart is the name of the part whose rows are plotted.
const LoadsPart = "loads"

// Parts returns the parts in the order in which they are run.
func Parts() []Part {
	return []Part{
		{Name: LoadsPart, cases: loadCases, write: writeLoads},
		{Name: "failures", cases: failureCases, write: writeFailures},
		{Name: "elements", cases: ablationCases, write: writeAblations},
	}
}

// Run measures part p for a deployment with the given capacity and returns its report.
func (p Part) Run(c Config, d workload.Deployment, capacity float64) Report {
	rows := Measure(c, p.cases(c, d, capacity))
	return Report{Part: p.Name, Deployment: d, Capacity: capacity, Rows: rows, write: p.write}
}

// Write writes the report as Markdown.
func (r Report) Write(w io.Writer) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "Capacity: %.1f requests a second.\n", r.Capacity)
	r.write(b, r.Rows)
	_, err := io.WriteString(w, b.String())
	return err
}

func writeLoads(b *strings.Builder, rows []Row) {
	for _, l := range TableLoads {
		fmt.Fprintf(b, "\n## Load %.1f\n\n", l)
		writeTable(b, rowsAtLoad(rows, l))
	}
	for _, l := range TableLoads {
		fmt.Fprintf(b, "\n## The policy and the best baseline of each column at load %.1f\n", l)
		writeComparisons(b, "of all baselines", rowsAtLoad(rows, l), anyRow)
		writeComparisons(b, "of the baselines that answer 99 of 100 requests in time", rowsAtLoad(rows, l), meetsAnsweredShare)
	}
}

// rowsAtLoad returns the rows at one load.
func rowsAtLoad(rows []Row, load float64) []Row {
	return slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Case.Load != load })
}

func writeComparisons(b *strings.Builder, what string, rows []Row, keep func(r *Row) bool) {
	fmt.Fprintf(b, "\nBest %s:\n\n", what)
	all, ok := compareColumns(rows, keep)
	if !ok {
		b.WriteString("There is none.\n")
		return
	}
	b.WriteString(markdownRow([]string{"column", "policy", "best", "baseline", "ratio"}) + "\n")
	b.WriteString(markdownRow(dashes(5)) + "\n")
	for _, x := range all {
		b.WriteString(x.String() + "\n")
	}
}

func writeFailures(b *strings.Builder, rows []Row) {
	var names []string
	for i := range rows {
		if !slices.Contains(names, rows[i].Case.Scenario) {
			names = append(names, rows[i].Case.Scenario)
		}
	}
	for _, name := range names {
		fmt.Fprintf(b, "\n## %s\n\n", name)
		writeTable(b, slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Case.Scenario != name }))
	}
}

func writeAblations(b *strings.Builder, rows []Row) {
	b.WriteString("\n## Without each element\n\n")
	writeTable(b, rows)
}
