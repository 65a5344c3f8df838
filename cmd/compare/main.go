// Command compare measures the policy and the baselines in virtual time and
// writes the tables and plots that docs/MEASUREMENTS.md links.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/load/comparison"
	"hornbeamwood/internal/load/workload"
)

// options are the command's flags.
type options struct {
	out        string
	part       string
	deployment string
	short      bool
	parallel   int
}

func main() {
	o := options{out: "docs", parallel: comparison.Full().Parallel}
	flaggy.SetName("compare")
	flaggy.SetDescription("Compares routing strategies in virtual time.")
	flaggy.String(&o.out, "o", "out", "folder for measurements/ and plots/")
	flaggy.String(&o.part, "", "part", "run only this part: loads, failures or elements")
	flaggy.String(&o.deployment, "d", "deployment", "run only this deployment: certilote or association")
	flaggy.Bool(&o.short, "s", "short", "one seed and shorter runs, for a quick check")
	flaggy.Int(&o.parallel, "p", "parallel", "number of concurrent runs")
	flaggy.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	c := comparison.Full()
	if o.short {
		c = comparison.Short()
	}
	c.Parallel = o.parallel
	for _, folder := range []string{"measurements", "plots"} {
		if err := os.MkdirAll(filepath.Join(o.out, folder), 0o755); err != nil {
			return fmt.Errorf("create folder: %w", err)
		}
	}
	for _, d := range []workload.Deployment{workload.Certilote(), workload.Association()} {
		if o.deployment != "" && o.deployment != d.Name {
			continue
		}
		if err := runDeployment(o, c, d); err != nil {
			return err
		}
	}
	return nil
}

func runDeployment(o options, c comparison.Config, d workload.Deployment) error {
	capacity := comparison.Capacity(c, d)
	for _, p := range comparison.Parts() {
		if o.part != "" && o.part != p.Name {
			continue
		}
		r := p.Run(c, d, capacity)
		if err := write(r, c, o.out); err != nil {
			return err
		}
		if err := plot(r, o.out); err != nil {
			return err
		}
	}
	return nil
}

func write(r comparison.Report, c comparison.Config, out string) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Policy comparison: %s, %s\n\n", r.Deployment.Name, r.Part)
	fmt.Fprintf(&b, "Written by `go run ./cmd/compare --part %s`: seeds %v, %v warm-up, %v measured, the mean of the seeds.\n\n",
		r.Part, c.Seeds, c.Warmup, c.Measured)
	if err := r.Write(&b); err != nil {
		return fmt.Errorf("write tables: %w", err)
	}
	return save(filepath.Join(out, "measurements", fmt.Sprintf("policy-%s-%s.md", r.Deployment.Name, r.Part)), b.Bytes())
}

// plot writes the plots of the loads part; the other parts have no plots.
func plot(r comparison.Report, out string) error {
	if r.Part != comparison.LoadsPart {
		return nil
	}
	for _, p := range comparison.Plots(r.Rows) {
		var b bytes.Buffer
		if err := p.Write(&b, r.Rows); err != nil {
			return fmt.Errorf("plot %s: %w", p.File, err)
		}
		if err := save(filepath.Join(out, "plots", p.File), b.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

func save(path string, content []byte) error {
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	return nil
}
