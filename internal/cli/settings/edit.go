package settings

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"hornbeamwood/internal/settings/tomlfile"
	"hornbeamwood/internal/settings/tree"
)

// maxAttempts is the maximum number of times that an edit is sent while its outcome is unknown.
const maxAttempts = 5

// inForce is the only value of --wait.
const inForce = "in-force"

// Set assigns a value to one setting of a branch.
func Set(ctx context.Context, c Config, stdout io.Writer) error {
	p, s, err := c.setting()
	if err != nil {
		return err
	}
	v, err := tree.ParseText(s, c.Value)
	if err != nil {
		return usage("VALUE", "%s: %v", tree.Label(p, s.Name), err)
	}
	body, err := json.Marshal(map[string]tree.Value{s.Name: v})
	if err != nil {
		return err
	}
	return c.withDefaults().edit(ctx, stdout, request{method: http.MethodPatch, path: p, contentType: "application/json", body: body})
}

// Unset removes one setting from the tree, or the whole branch if no setting is named.
func Unset(ctx context.Context, c Config, stdout io.Writer) error {
	p, err := c.branch()
	if err != nil {
		return err
	}
	q := url.Values{}
	if c.Setting != "" {
		if _, _, err := c.setting(); err != nil {
			return err
		}
		q.Set("key", c.Setting)
	}
	return c.withDefaults().edit(ctx, stdout, request{method: http.MethodDelete, path: p, query: q})
}

// Apply replaces a branch and everything below it with the contents of a TOML file.
func Apply(ctx context.Context, c Config, stdout io.Writer) error {
	p, err := c.branch()
	if err != nil {
		return err
	}
	b, err := c.read()
	if err != nil {
		return err
	}
	s, err := tree.ParseTOML(p, c.File, b)
	if err != nil {
		return err
	}
	err = c.withDefaults().edit(ctx, stdout, request{method: http.MethodPut, path: p, contentType: "application/toml", body: b})
	var r RefusedError
	if errors.As(err, &r) {
		r.Failure.Error.Reasons = s.Locate(c.File, withoutLines(r.Failure.Error.Reasons))
		return r
	}
	return err
}

// withoutLines returns the problems without line numbers, which are then looked up in the local file.
func withoutLines(all tomlfile.Problems) tomlfile.Problems {
	var cleared tomlfile.Problems
	for _, p := range all {
		p.Line = 0
		cleared = append(cleared, p)
	}
	return cleared
}

func (c Config) read() ([]byte, error) {
	if c.File == "" {
		return nil, usage("FILE", "a TOML file is required")
	}
	if c.File == "-" {
		return io.ReadAll(c.Stdin)
	}
	b, err := os.ReadFile(c.File)
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	return b, nil
}

// edit sends r, and retries it with the same edit ID while its outcome is unknown.
//
// The response to an accepted edit may be lost. A new edit would then conflict
// with the first, whereas a retry returns the outcome of the first.
func (c Config) edit(ctx context.Context, stdout io.Writer, r request) error {
	if c.Wait != "" && c.Wait != inForce {
		return usage("--wait", "takes %s only", inForce)
	}
	if c.Wait == inForce {
		if r.query == nil {
			r.query = url.Values{}
		}
		r.query.Set("wait", inForce)
	}
	base, err := c.base(ctx)
	if err != nil {
		return err
	}
	r.route, r.base, r.editID = "settings", `"`+base+`"`, c.EditID
	a, err := c.do(ctx, r)
	for attempt := 1; outcomeUnknown(err) && attempt < maxAttempts && sleep(ctx, c.RetryDelay); attempt++ {
		a, err = c.do(ctx, r)
	}
	if outcomeUnknown(err) {
		return UnknownOutcomeError{EditID: c.EditID, Base: base, Cause: err}
	}
	if err != nil {
		return err
	}
	return c.accepted(stdout, a)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// base returns the revision that the edit is based on: the given one, or the newest.
func (c Config) base(ctx context.Context) (string, error) {
	if c.IfMatch != "" {
		return strings.Trim(c.IfMatch, `"`), nil
	}
	a, err := c.do(ctx, request{method: http.MethodGet, route: "settings", path: tree.FleetPath})
	if err != nil {
		return "", err
	}
	return strings.Trim(a.revision, `"`), nil
}

// accepted holds the fields of an accepted edit that are shown.
type accepted struct {
	Revision uint64 `json:"revision"`
	Repeated bool   `json:"repeated"`
	InForce  bool   `json:"in-force"`
}

func (c Config) accepted(stdout io.Writer, a response) error {
	if c.JSON {
		_, err := stdout.Write(a.body)
		return err
	}
	var x accepted
	if err := json.Unmarshal(a.body, &x); err != nil {
		return fmt.Errorf("entry %s: %w", c.Entry, err)
	}
	text := fmt.Sprintf("accepted as revision %d", x.Revision)
	if x.Repeated {
		text += " when it was first sent"
	}
	if x.InForce {
		text += ", in force everywhere"
	}
	fmt.Fprintln(stdout, text)
	if c.Wait == inForce && !x.InForce {
		return fmt.Errorf("revision %d is accepted, but not yet in force everywhere", x.Revision)
	}
	return nil
}
