package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"hornbeamwood/internal/load/workload"
)

// idleConns is the number of idle connections that are kept to one entry.
const idleConns = 256

// Run replays the workload and writes the result to w.
func Run(ctx context.Context, c Config, w io.Writer) error {
	if len(c.Entries) == 0 {
		return errors.New("--entry: at least one entry is required")
	}
	g, err := c.workload()
	if err != nil {
		return err
	}
	t := newTally()
	start := time.Now()
	stop := startProgress(c, t, start)
	replay(ctx, c, g, t, start)
	stop()
	return writeResult(c, t.result(time.Since(start)), w)
}

// replay sends each request at its arrival time and waits for the last response.
func replay(ctx context.Context, c Config, g workload.Config, t *tally, start time.Time) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}, Timeout: requestTimeout}
	source := workload.New(g)
	var running sync.WaitGroup
	defer running.Wait()
	for {
		a, ok := source.Next()
		if !ok || !sleepUntil(ctx, start.Add(a.At)) {
			return
		}
		class := g.Deployment.Classes[a.Class].Name
		if !t.begin(class) {
			continue
		}
		running.Go(func() {
			q, err := newRequest(ctx, c, &g.Deployment, a, c.Entries[a.Number%len(c.Entries)])
			if err != nil {
				t.end(outcome{class: class})
				return
			}
			t.end(send(client, q, class))
		})
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// startProgress writes a progress line every second until the returned function is called.
func startProgress(c Config, t *tally, start time.Time) (stop func()) {
	if c.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var ended sync.WaitGroup
	ended.Go(func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-done:
				fmt.Fprintln(c.Progress)
				return
			case <-tick.C:
			}
			sent, whole, refused, failed, inFlight := t.totals()
			fmt.Fprintf(c.Progress, "\r%4.0f s  sent %d  whole %d  refused %d  failed %d  in flight %d   ",
				time.Since(start).Seconds(), sent, whole, refused, failed, inFlight)
		}
	})
	return func() {
		close(done)
		ended.Wait()
	}
}

func writeResult(c Config, r Result, w io.Writer) error {
	if c.JSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "CLASS\tSENT\tWHOLE\tREFUSED\tFAILED\tP50 MS\tP95 MS\tP99 MS\tRECOMPUTED\tIMPORTED MB\t")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%s\t%.1f\t\n", x.Class, x.Sent, x.Whole, x.Refused, x.Failed,
			x.P50, x.P95, x.P99, percent(x.ComputedTokens, x.PromptTokens), float64(x.ImportedBytes)/1e6)
	}
	fmt.Fprintf(t, "\n%.1f s, %d not sent\n", r.Seconds, r.NotSent)
	return t.Flush()
}

func percent(part, all int64) string {
	if all == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f %%", 100*float64(part)/float64(all))
}
