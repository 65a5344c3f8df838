package comparison

import (
	"fmt"
	"strings"
	"time"

	"hornbeamwood/internal/load/model"
)

// writeTable writes rows of one deployment as a Markdown table, with the TTFT of each class that has one.
func writeTable(b *strings.Builder, rows []Row) {
	if len(rows) == 0 {
		return
	}
	header := tableHeader(&rows[0])
	b.WriteString(markdownRow(header) + "\n" + markdownRow(dashes(len(header))) + "\n")
	for i := range rows {
		b.WriteString(markdownRow(tableRow(&rows[i])) + "\n")
	}
}

func markdownRow(cells []string) string {
	return "| " + strings.Join(cells, " | ") + " |"
}

func dashes(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = "---"
	}
	return all
}

func tableHeader(r *Row) []string {
	h := []string{"load", "strategy"}
	for _, c := range r.Case.Deployment.Classes {
		if c.Service == "" {
			h = append(h, c.Name+" TTFT p50 / p95 / p99 (s)")
		}
	}
	return append(h, "recomputed", "link GB", "link busy", "refused", "late", "lost", "wrong",
		"worth served", "least-served workspace", "answered per s")
}

func tableRow(r *Row) []string {
	x := &r.Result
	row := []string{fmt.Sprintf("%.2f", r.Case.Load), r.Case.Variant.Name}
	for i, c := range r.Case.Deployment.Classes {
		if c.Service == "" {
			row = append(row, latencies(&x.Classes[i]))
		}
	}
	return append(row,
		fmt.Sprintf("%.3f", x.Recomputed),
		fmt.Sprintf("%.0f", linkGigabytes(x)),
		fmt.Sprintf("%.2f", meanLinkBusy(x)),
		formatPercent(x.Refused, x.Arrived), formatPercent(x.Late, x.Arrived), formatPercent(x.Lost, x.Arrived),
		fmt.Sprint(x.Wrong),
		fmt.Sprintf("%.3f", x.WorthShare), fmt.Sprintf("%.2f", x.LeastServed),
		fmt.Sprintf("%.2f", x.Goodput))
}

func latencies(c *model.ClassResult) string {
	return fmt.Sprintf("%s / %s / %s", secondsOf(c.P50), secondsOf(c.P95), secondsOf(c.P99))
}

func secondsOf(d time.Duration) string {
	return fmt.Sprintf("%.3f", d.Seconds())
}

func formatPercent(n, of int) string {
	if of == 0 {
		return "0%"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(of))
}

// linkGigabytes returns the gigabytes transferred over all links.
func linkGigabytes(x *model.Result) float64 {
	var sum int64
	for _, n := range x.LinkBytes {
		sum += n
	}
	return float64(sum) / 1e9
}

// meanLinkBusy returns the mean busy share of the links.
func meanLinkBusy(x *model.Result) float64 {
	var sum float64
	for _, b := range x.LinkBusy {
		sum += b
	}
	return sum / float64(max(len(x.LinkBusy), 1))
}
