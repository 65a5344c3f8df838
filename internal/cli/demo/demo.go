package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// ErrStepFailed means that a step of the tour failed.
var ErrStepFailed = errors.New("demo: at least one step failed")

// Run serves the demo until ctx ends, or runs the tour once. It writes instructions or the results of the tour to w.
func Run(ctx context.Context, c Config, w io.Writer) error {
	cleanUp, err := prepare(&c)
	if err != nil {
		return err
	}
	defer cleanUp()
	s, err := newSite(c)
	if err != nil {
		return err
	}
	if err := s.start(); err != nil {
		return errors.Join(err, s.stop())
	}
	t := &tour{site: s}
	if err := t.ready(ctx); err != nil {
		return errors.Join(err, s.stop())
	}
	if c.Once {
		return runTour(ctx, t, w)
	}
	fmt.Fprint(w, instructions(s))
	<-ctx.Done()
	return s.stop()
}

func prepare(c *Config) (cleanUp func(), err error) {
	if c.Folder != "" {
		return func() {}, os.MkdirAll(c.Folder, 0o700)
	}
	if c.Folder, err = os.MkdirTemp("", "hornbeamwood-demo-"); err != nil {
		return nil, err
	}
	return func() { _ = os.RemoveAll(c.Folder) }, nil
}

func runTour(ctx context.Context, t *tour, w io.Writer) error {
	start := time.Now()
	passed := t.run(ctx)
	if err := writeTable(t.rows, w); err != nil {
		return err
	}
	fmt.Fprintf(w, "\n%d steps in %s\n", len(t.rows), time.Since(start).Round(100*time.Millisecond))
	if err := t.site.stop(); err != nil {
		return err
	}
	if !passed {
		return ErrStepFailed
	}
	return nil
}

// ready applies the example tree and waits until every entry serves every model.
func (t *tour) ready(ctx context.Context) error {
	tree, err := mergedTree()
	if err != nil {
		return err
	}
	if err := t.until(ctx, "the settings are accepted", func() error { return t.apply(ctx, string(tree)) }); err != nil {
		return err
	}
	return t.until(ctx, "the models are served", func() error {
		for i := range entries {
			for _, m := range []struct{ key, model string }{{draftKey, "draft"}, {draftKey, "status-read"}, {logbookKey, "logbook-check"}} {
				if _, err := t.complete(ctx, i, m.key, m.model, "ready?"); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

// apply puts the whole tree, unless an earlier demo in the same folder has done so.
func (t *tour) apply(ctx context.Context, tree string) error {
	a, err := apiCall{
		method: http.MethodPut, url: t.site.url(0) + "/settings/?wait=in-force", key: bootstrapKey, body: tree,
		header: map[string]string{"Content-Type": "application/toml", "If-Match": `"0"`, "Idempotency-Key": "demo"},
	}.do(ctx)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK && a.status != http.StatusUnauthorized {
		return fmt.Errorf("status %d: %.500s", a.status, a.body)
	}
	return nil
}

func instructions(s *site) string {
	return fmt.Sprintf(`hornbeamwood serves the example settings of both deployments.

A draft, streamed:
  curl -N -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' -d '{"model": "draft", "prompt": "draft the certificate of lot 7", "stream": true}' %[1]s/v1/completions

A question on a schedule, through the other entry:
  curl -H 'Authorization: Bearer %[3]s' -H 'Content-Type: application/json' -d '{"model": "schedule-question", "messages": [{"role": "user", "content": "when does Daejeon change its carrier?"}]}' %[4]s/v1/chat/completions

An issue stamp; send it again, through either entry, and it runs once:
  curl -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: lot-7' -d '{"lot": 7}' %[1]s/services/issue-stamps/issue

The status of the deployment, and the effective settings of one branch:
  HORNBEAMWOOD_OPERATOR_KEY=%[5]s hornbeamwood status --entry %[1]s
  HORNBEAMWOOD_OPERATOR_KEY=%[5]s hornbeamwood settings explain --entry %[1]s /workspaces/bogota/models/draft

Stop with Ctrl-C.
`, s.url(0), draftKey, logbookKey, s.url(1), operatorKey)
}
