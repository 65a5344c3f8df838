package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// row is one line of the tour's table.
type row struct {
	step    string
	answer  answer
	held    bool
	because string
}

func write(rows []row, w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "STEP\tFIRST TOKEN\tRECOMPUTED\tLINK BYTES\tVERDICT\tHELD")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", r.step, r.firstToken(), r.recomputed(), r.linkBytes(), orDash(r.answer.verdict), r.outcome())
	}
	return t.Flush()
}

func (r row) firstToken() string {
	if r.answer.First == 0 {
		return "-"
	}
	return r.answer.First.Round(time.Millisecond).String()
}

func (r row) recomputed() string {
	if r.answer.Prompt == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f %%", 100*r.answer.Recomputed())
}

func (r row) linkBytes() string {
	if r.answer.Prompt == 0 {
		return "-"
	}
	return fmt.Sprint(r.answer.Imported)
}

func (r row) outcome() string {
	if r.held {
		return "yes"
	}
	return "NO: " + r.because
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
