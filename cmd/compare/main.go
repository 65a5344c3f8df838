// Command compare runs the policy against the baselines in virtual time and
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

func main() {
	out := "docs"
	short := false
	parallel := comparison.Full().Parallel
	flaggy.SetName("compare")
	flaggy.SetDescription("Compares routing strategies in virtual time.")
	flaggy.String(&out, "o", "out", "folder for measurements/ and plots/")
	flaggy.Bool(&short, "s", "short", "one seed and less time, for a look")
	flaggy.Int(&parallel, "p", "parallel", "runs at once")
	flaggy.Parse()
	c := comparison.Full()
	if short {
		c = comparison.Short()
	}
	c.Parallel = parallel
	if err := run(c, out); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

func run(c comparison.Config, out string) error {
	for _, folder := range []string{"measurements", "plots"} {
		if err := os.MkdirAll(filepath.Join(out, folder), 0o755); err != nil {
			return fmt.Errorf("create folder: %w", err)
		}
	}
	for _, d := range []workload.Deployment{workload.Certilote(), workload.Association()} {
		if err := write(comparison.Run(c, d), c, out); err != nil {
			return err
		}
	}
	return nil
}

func write(r comparison.Report, c comparison.Config, out string) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Policy comparison: %s\n\nWritten by `go run ./cmd/compare`: seeds %v, %v warm-up, %v measured, the mean of the seeds.\n\n",
		r.Deployment.Name, c.Seeds, c.Warmup, c.Measured)
	if err := r.Write(&b); err != nil {
		return fmt.Errorf("write tables: %w", err)
	}
	if err := save(filepath.Join(out, "measurements", "policy-"+r.Deployment.Name+".md"), b.Bytes()); err != nil {
		return err
	}
	return plot(r, out)
}

func plot(r comparison.Report, out string) error {
	for _, p := range comparison.Plots(r.Curve) {
		var b bytes.Buffer
		if err := p.Write(&b, r.Curve); err != nil {
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
