package load

import (
	"fmt"
	"io"
	"strings"
	"time"

	"hornbeamwood/internal/load/workload"
)

// Config holds the flags of the load command.
type Config struct {
	// Entries are the base URLs of entries, used in turn.
	Entries []string
	// Deployment is certilote or association.
	Deployment string
	// Rate is the number of requests a second, including requests for returning documents.
	Rate float64
	// Length is the time during which requests are sent.
	Length time.Duration
	// Seed determines the requests of a Config.
	Seed uint64
	// GapScale multiplies the gaps after which documents return; 0.05 shortens minutes to seconds.
	GapScale float64
	// JSON prints the result as JSON.
	JSON bool
	// Progress receives a line every second; nil means none.
	Progress io.Writer
}

// deployments maps names to workloads.
var deployments = map[string]func() workload.Deployment{
	"certilote":   workload.Certilote,
	"association": workload.Association,
}

// Limits of one run; a mistyped flag must not overload a deployment.
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
		return workload.Config{}, fmt.Errorf("--rate: %g must be above 0 and at most %d", c.Rate, maxRate)
	}
	if c.Length <= 0 || c.Length > maxLength {
		return workload.Config{}, fmt.Errorf("--length: %s must be above 0 and at most %s", c.Length, maxLength)
	}
	w := workload.Config{Deployment: d(), Rate: c.Rate, Length: c.Length, Seed: c.Seed}
	for i := range w.Deployment.Classes {
		g := &w.Deployment.Classes[i].ReturnGap
		g[0], g[1] = scale(g[0], c.GapScale), scale(g[1], c.GapScale)
	}
	return w, nil
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}

// apiKey returns the API key that the example settings have for a workspace.
func (c Config) apiKey(workspace string) string {
	return strings.Join([]string{c.Deployment, workspace, "key"}, "-")
}
