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

// resends is how often an edit of unknown outcome is sent again.
const resends = 5

// inForce is the only value of --wait.
const inForce = "in-force"

// Set gives one setting of a branch a value.
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
	return c.withDefaults().edit(ctx, stdout, request{method: http.MethodPatch, path: p, media: "application/json", body: body})
}

// Unset takes one setting, or the whole branch when none is named, from the tree.
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

// Apply makes a branch and all below it equal to a TOML file.
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
	err = c.withDefaults().edit(ctx, stdout, request{method: http.MethodPut, path: p, media: "application/toml", body: b})
	var r RefusedError
	if errors.As(err, &r) {
		r.Failure.Error.Reasons = s.Locate(c.File, withoutLines(r.Failure.Error.Reasons))
		return r
	}
	return err
}

// withoutLines returns problems whose lines will be looked up in the file.
func withoutLines(all tomlfile.Problems) tomlfile.Problems {
	var bare tomlfile.Problems
	for _, p := range all {
		p.Line = 0
		bare = append(bare, p)
	}
	return bare
}

func (c Config) read() ([]byte, error) {
	if c.File == "" {
		return nil, usage("FILE", "a TOML file is needed")
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

// edit sends r, again with the same edit id as long as its outcome is unknown.
//
// The answer to an accepted edit may be lost. A new edit in its place would
// meet a conflict with the first; the same one is answered by its outcome.
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
	for tried := 1; unknown(err) && tried < resends && pause(ctx, c.Pause); tried++ {
		a, err = c.do(ctx, r)
	}
	if unknown(err) {
		return UnknownError{EditID: c.EditID, Base: base, Cause: err}
	}
	if err != nil {
		return err
	}
	return c.accepted(stdout, a)
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// base returns the revision to edit against: the one that was given, or the newest.
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

// accepted is what is shown of an accepted edit.
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
		return fmt.Errorf("revision %d is accepted, and not yet in force everywhere", x.Revision)
	}
	return nil
}
