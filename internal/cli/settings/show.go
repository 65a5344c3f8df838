package settings

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"hornbeamwood/internal/settings/tree"
)

// Get shows a branch and those below it as TOML, or the effective value of one setting.
func Get(ctx context.Context, c Config, stdout io.Writer) error {
	p, err := c.branch()
	if err != nil {
		return err
	}
	if c.Setting != "" {
		return c.showValue(ctx, stdout, p)
	}
	accept := "application/toml"
	if c.JSON {
		accept = "application/json"
	}
	a, err := c.withDefaults().do(ctx, request{method: http.MethodGet, route: "settings", path: p, accept: accept})
	if err != nil {
		return err
	}
	if !c.JSON {
		fmt.Fprintf(stdout, "# revision %s\n", strings.Trim(a.revision, `"`))
	}
	_, err = stdout.Write(a.body)
	return err
}

// explanation holds the fields of effective values that are shown.
type explanation struct {
	Values []struct {
		Key   string `json:"key"`
		Value any    `json:"value"`
		From  string `json:"from"`
	} `json:"values"`
}

func (c Config) showValue(ctx context.Context, stdout io.Writer, p tree.Path) error {
	x, _, err := c.explanation(ctx, p)
	if err != nil || len(x.Values) != 1 {
		return err
	}
	fmt.Fprintln(stdout, formatValue(x.Values[0].Value))
	return nil
}

func (c Config) explanation(ctx context.Context, p tree.Path) (explanation, []byte, error) {
	q := url.Values{}
	if c.Setting != "" {
		q.Set("key", c.Setting)
	}
	return fetchJSON[explanation](ctx, c, request{route: "settings-explain", path: p, query: q})
}

// fetchJSON returns the response to a GET request, decoded and as received.
func fetchJSON[T any](ctx context.Context, c Config, r request) (T, []byte, error) {
	var v T
	r.method = http.MethodGet
	a, err := c.withDefaults().do(ctx, r)
	if err != nil {
		return v, nil, err
	}
	if err := json.Unmarshal(a.body, &v); err != nil {
		return v, nil, fmt.Errorf("entry %s: %w", c.Entry, err)
	}
	return v, a.body, nil
}

func formatValue(v any) string {
	if s, ok := v.(string); ok {
		return s
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}

// Explain shows the effective values of a branch, each with the branch that sets it.
func Explain(ctx context.Context, c Config, stdout io.Writer) error {
	p, err := c.branch()
	if err != nil {
		return err
	}
	x, body, err := c.explanation(ctx, p)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := stdout.Write(body)
		return err
	}
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KEY\tVALUE\tFROM")
	for _, v := range x.Values {
		if v.From == "" {
			v.From = "(default)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", v.Key, formatValue(v.Value), v.From)
	}
	return w.Flush()
}

// effect holds the fields of one change that are shown.
type effect struct {
	Action tree.Action `json:"action"`
	Path   tree.Path   `json:"path"`
	Key    string      `json:"key"`
	Before any         `json:"before"`
	After  any         `json:"after"`
}

func (e effect) String() string {
	label := tree.Label(e.Path, e.Key)
	switch {
	case e.Action != tree.Set:
		return fmt.Sprintf("%s %s", e.Action, label)
	case e.Before == nil:
		return fmt.Sprintf("set %s to %s", label, formatValue(e.After))
	}
	return fmt.Sprintf("set %s from %s to %s", label, formatValue(e.Before), formatValue(e.After))
}

// auditTrail holds the fields of the audit trail that are shown.
type auditTrail struct {
	Oldest  uint64 `json:"oldest"`
	Records []struct {
		Revision uint64   `json:"revision"`
		EditID   string   `json:"edit-id"`
		Operator string   `json:"operator"`
		Base     uint64   `json:"base"`
		At       int64    `json:"at"`
		Effects  []effect `json:"effects"`
	} `json:"records"`
}

// History shows the audit trail, newest first.
func History(ctx context.Context, c Config, stdout io.Writer) error {
	q := url.Values{}
	for name, value := range map[string]string{"limit": c.Limit, "to": c.To} {
		if value != "" {
			q.Set(name, value)
		}
	}
	x, body, err := fetchJSON[auditTrail](ctx, c, request{route: "settings-history", query: q})
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := stdout.Write(body)
		return err
	}
	for _, r := range x.Records {
		at := time.Unix(0, r.At).UTC().Format(time.RFC3339)
		fmt.Fprintf(stdout, "revision %d by %s at %s, made against %d, edit id %s\n", r.Revision, r.Operator, at, r.Base, r.EditID)
		for _, e := range r.Effects {
			fmt.Fprintf(stdout, "  %s\n", e)
		}
	}
	return nil
}

// Diff shows the net differences between two revisions.
func Diff(ctx context.Context, c Config, stdout io.Writer) error {
	if c.From == "" {
		return usage("--from", "a revision is required")
	}
	q := url.Values{"from": {c.From}}
	if c.To != "" {
		q.Set("to", c.To)
	}
	x, body, err := fetchJSON[struct {
		Effects []effect `json:"effects"`
	}](ctx, c, request{route: "settings-diff", query: q})
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := stdout.Write(body)
		return err
	}
	for _, e := range x.Effects {
		fmt.Fprintln(stdout, e)
	}
	return nil
}
