package load

import (
	"fmt"
	"io"
	"strings"
	"time"

	"hornbeamwood/internal/load/workload"
)

// Config is what the verb load takes.
type Config struct {
	// Entries are base URLs, used in turn.
	Entries []string
	// Deployment is certilote or association.
	Deployment string
	// Rate is the number of requests a second, returns counted.
	Rate float64
	// Length is how long requests are sent.
	Length time.Duration
	// Seed gives the same requests for the same Config.
	Seed uint64
	// GapScale multiplies the gaps after which documents come back; 0.05 makes minutes of seconds.
	GapScale float64
	// JSON asks for the result as JSON.
	JSON bool
	// Progress gets a line a second; nil for none.
	Progress io.Writer
}

// deployments are the workloads by name.
var deployments = map[string]func() workload.Deployment{
	"certilote":   workload.Certilote,
	"association": workload.Association,
}

// Limits of one run; a mistyped flag must not flood anybody.
const (
	maxRate     = 10_000
	maxLength   = 24 * time.Hour
	maxInFlight = 4_096
)

func (c Config) workload() (workload.Config, error) {
	d, ok := deployments[c.Deployment]
	if !ok {
		return workload.Config{}, fmt.Errorf("--deployment: %q is neither certilote nor association", c.Deployment)
	}
	if c.Rate <= 0 || c.Rate > maxRate {
		return workload.Config{}, fmt.Errorf("--rate: %g is not above 0 and at most %d", c.Rate, maxRate)
	}
	if c.Length <= 0 || c.Length > maxLength {
		return workload.Config{}, fmt.Errorf("--length: %s is not above 0 and at most %s", c.Length, maxLength)
	}
	w := workload.Config{Deployment: d(), Rate: c.Rate, Length: c.Length, Seed: c.Seed}
	for i := range w.Deployment.Classes {
		g := &w.Deployment.Classes[i].Gap
		g[0], g[1] = scaled(g[0], c.GapScale), scaled(g[1], c.GapScale)
	}
	return w, nil
}

func scaled(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}

// key returns the key of the example settings for a workspace.
func (c Config) key(workspace string) string {
	return strings.Join([]string{c.Deployment, workspace, "key"}, "-")
}
