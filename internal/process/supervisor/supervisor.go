package supervisor

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
)

const (
	// firstRetry is the wait before the first new start, and longestRetry the longest one: each wait is twice the one before.
	firstRetry   = 500 * time.Millisecond
	longestRetry = 8 * time.Second
	// stableAfter is how long a process must have run for its next failure to count as the first.
	stableAfter = 30 * time.Second
)

// failures counts the failures of this operating system process.
var failures = metrics.NewCounter("hornbeamwood_process_failures_total")

// Process is one run of an entry or a control replica.
type Process interface {
	// Run serves until ctx ends; it returns nil after a graceful stop.
	Run(ctx context.Context) error
}

// Config configures Run.
type Config struct {
	// Role and Name name the process in the log.
	Role, Name string
	// Start opens the process's files and sockets.
	Start func() (Process, error)
	// CrashFile is the path of the file that keeps the report of a crash for the next start; "" for none.
	CrashFile string
	// Logger receives the events.
	Logger log.Interface
	// Wait waits for a duration or until ctx ends. Default a timer.
	Wait func(ctx context.Context, d time.Duration)
}

// Run runs a process until ctx ends, and starts it anew after it has failed.
//
// A disk that is full or refuses writes, or an address that is still in use, is mended by waiting. A process that
// ended instead would be started again at once, fail again, and report nothing but its exit code.
func Run(ctx context.Context, c Config) error {
	if c.Wait == nil {
		c.Wait = wait
	}
	reportCrash(c)
	retry := firstRetry
	for {
		startedAt := time.Now()
		err := runOnce(ctx, c.Start)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if time.Since(startedAt) >= stableAfter {
			retry = firstRetry
		}
		failures.Inc()
		event.ProcessFailed.Write(c.Logger, log.Fields{"role": c.Role, "name": c.Name, "error": err.Error(), "failures": failures.Get(), "retry-ms": retry.Milliseconds()})
		c.Wait(ctx, retry)
		if ctx.Err() != nil {
			return err
		}
		retry = min(2*retry, longestRetry)
	}
}

func runOnce(ctx context.Context, start func() (Process, error)) error {
	p, err := start()
	if err != nil {
		return err
	}
	return p.Run(ctx)
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
