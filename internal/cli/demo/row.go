package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// row is one row of the tour's table.
type row struct {
	step     string
	response response
	passed   bool
	reason   string
}

func writeTable(rows []row, w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "STEP\tFIRST TOKEN\tRECOMPUTED\tLINK BYTES\tVERDICT\tHELD")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", r.step, r.firstToken(), r.recomputed(), r.linkBytes(), orDash(r.response.verdict), r.outcome())
	}
	return t.Flush()
}

func (r row) firstToken() string {
	if r.response.FirstEvent == 0 {
		return "-"
	}
	return r.response.FirstEvent.Round(time.Millisecond).String()
}

func (r row) recomputed() string {
	if r.response.PromptTokens == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f %%", 100*r.response.RecomputedShare())
}

func (r row) linkBytes() string {
	if r.response.PromptTokens == 0 {
		return "-"
	}
	return fmt.Sprint(r.response.ImportedBytes)
}

func (r row) outcome() string {
	if r.passed {
		return "yes"
	}
	return "NO: " + r.reason
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
