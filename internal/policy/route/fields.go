package route

import (
	"fmt"
	"strings"

	"github.com/apex/log"
)

// Fields returns the fields of the log line for d: the server, the reason, the expected time to
// first token, the cost, how many pieces come from where, and each candidate's estimate.
func (d *Decision) Fields(c *Cell) log.Fields {
	var counts [len(sourceNames)]int
	for _, s := range d.Plan {
		counts[s.Source]++
	}
	return log.Fields{
		"server":    d.Identity,
		"reason":    string(d.Reason),
		"ttft":      d.TTFT.String(),
		"cost":      d.Cost,
		"in-memory": counts[InMemory],
		"import":    counts[Import],
		"recompute": counts[Recompute],
		"estimates": d.estimates(c),
	}
}

// estimates returns one word for each candidate: its identity, time to first token and cost.
func (d *Decision) estimates(c *Cell) string {
	var b strings.Builder
	for i := range d.Estimates {
		e := &d.Estimates[i]
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s:%.3fs:%.3f", c.Candidates[e.Server].Identity, e.TTFT, e.Cost)
	}
	return b.String()
}
