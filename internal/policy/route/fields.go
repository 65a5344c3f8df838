package route

import (
	"fmt"
	"strings"

	"github.com/apex/log"
)

// Fields returns the log fields of d: the server, the reason, the expected time to first token, the
// cost, the number of pieces by source and the estimate of each candidate.
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

// estimates formats each candidate as its identity, time to first token and cost, separated by
// colons.
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
