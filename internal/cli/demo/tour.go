package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"hornbeamwood/internal/entry/status"
)

// Sizes of the tour's prompts in pieces of 4,000 tokens.
const (
	pieceText    = 16_000
	dossierSize  = 8
	fillerSize   = 5
	fillers      = 4
	waitTime     = 15 * time.Second
	waitInterval = 50 * time.Millisecond
)

// tour is the scripted run of demo --once.
type tour struct {
	site *site
	rows []row
	// pushed counts the prompts that pushed others out; each is a new one.
	pushed int
}

// steps of the tour in their order.
var steps = []struct {
	name string
	run  func(t *tour, ctx context.Context) (answer, error)
}{
	{"dossier, first time", (*tour).dossierFirst},
	{"dossier returns after eviction", (*tour).dossierReturns},
	{"logbook, first time", (*tour).logbookFirst},
	{"logbook returns after eviction", (*tour).logbookReturns},
	{"status read", (*tour).statusRead},
	{"issue stamp sent twice", (*tour).stampTwice},
	{"settings change in force", (*tour).settingsChange},
	{"backend server lost", (*tour).serverLost},
	{"control leader gone, edit accepted", (*tour).leaderGone},
}

// run carries out all steps and returns whether all held.
func (t *tour) run(ctx context.Context) bool {
	all := true
	for _, s := range steps {
		a, err := s.run(t, ctx)
		r := row{step: s.name, answer: a, held: err == nil}
		if err != nil {
			r.because = err.Error()
			all = false
		}
		t.rows = append(t.rows, r)
	}
	return all
}

// text returns a prompt of n pieces that no other name gives.
func text(name string, n int) string {
	line := name + ": coating lot, plant, date, result; "
	return strings.Repeat(line, n*pieceText/len(line)+1)
}

// whole sends a completion and fails unless the whole answer came.
func (t *tour) whole(ctx context.Context, entry int, key, model, prompt string) (answer, error) {
	a, err := completion(t.site.url(entry), key, model, prompt).do(ctx)
	if err != nil {
		return a, err
	}
	if a.status != http.StatusOK || !a.Whole {
		return a, fmt.Errorf("status %d, whole %v: %.200s", a.status, a.Whole, a.body)
	}
	return a, nil
}

func (t *tour) dossierFirst(ctx context.Context) (answer, error) {
	return t.whole(ctx, 0, draftKey, "draft", text("dossier", dossierSize))
}

func (t *tour) dossierReturns(ctx context.Context) (answer, error) {
	return t.returns(ctx, draftKey, "draft", "lot-note-check", text("dossier", dossierSize))
}

func (t *tour) logbookFirst(ctx context.Context) (answer, error) {
	return t.whole(ctx, 0, logbookKey, "logbook-check", text("logbook", dossierSize))
}

func (t *tour) logbookReturns(ctx context.Context) (answer, error) {
	return t.returns(ctx, logbookKey, "logbook-check", "schedule-question", text("logbook", dossierSize))
}

// returns pushes a prompt out of the engines' memory by others and sends it
// again through the other entry, until its pieces come from a store.
func (t *tour) returns(ctx context.Context, key, model, filler, prompt string) (answer, error) {
	var a answer
	err := t.until(ctx, "most of the prompt comes from the store", func() error {
		for i := range fillers {
			if _, err := t.whole(ctx, i%entries, key, filler, t.filler()); err != nil {
				return err
			}
		}
		var err error
		if a, err = t.whole(ctx, 1, key, model, prompt); err != nil {
			return err
		}
		if a.Imported == 0 || a.Recomputed() > 0.5 {
			return fmt.Errorf("%.0f %% recomputed, %d bytes imported", 100*a.Recomputed(), a.Imported)
		}
		return nil
	})
	return a, err
}

func (t *tour) filler() string {
	t.pushed++
	return text(fmt.Sprintf("filler %d", t.pushed), fillerSize)
}

func (t *tour) statusRead(ctx context.Context) (answer, error) {
	return t.whole(ctx, 1, draftKey, "status-read", "is lot 7 released?")
}

func (t *tour) stampTwice(ctx context.Context) (answer, error) {
	stamp := call{method: http.MethodPost, key: draftKey, body: `{"lot": 7}`, header: map[string]string{"Idempotency-Key": "lot-7"}}
	var all []answer
	for i := range entries {
		stamp.url = t.site.url(i) + "/services/issue-stamps/issue"
		a, err := stamp.do(ctx)
		if err != nil {
			return a, err
		}
		if a.status != http.StatusCreated {
			return a, fmt.Errorf("status %d: %.200s", a.status, a.body)
		}
		all = append(all, a)
	}
	if all[0].body != all[1].body {
		return all[1], fmt.Errorf("two outcomes: %s and %s", all[0].body, all[1].body)
	}
	return all[1], nil
}

// edit sets one value against the newest revision and waits until it is in force.
func (t *tour) edit(ctx context.Context, id, body string) (answer, error) {
	branch := t.site.url(1) + "/settings/workspaces/bogota"
	got, err := call{method: http.MethodGet, url: branch, key: operatorKey}.do(ctx)
	if err != nil {
		return got, err
	}
	a, err := call{
		method: http.MethodPatch, url: branch + "?wait=in-force", key: operatorKey, body: body,
		header: map[string]string{"Content-Type": "application/toml", "If-Match": got.etag, "Idempotency-Key": id},
	}.do(ctx)
	if err == nil && a.status != http.StatusOK {
		err = fmt.Errorf("status %d: %.200s", a.status, a.body)
	}
	return a, err
}

func (t *tour) settingsChange(ctx context.Context) (answer, error) {
	return t.edit(ctx, "tour-1", "max-in-flight = 200\n")
}

// serverLost takes away one of the two drafting servers without notice.
func (t *tour) serverLost(ctx context.Context) (answer, error) {
	t.site.parts["drafting-1"].lose()
	delete(t.site.parts, "drafting-1")
	var a answer
	for i := range fillers {
		var err error
		if a, err = t.whole(ctx, i%entries, draftKey, "draft", fmt.Sprintf("short draft %d", i)); err != nil {
			return a, err
		}
	}
	return a, nil
}

// leaderGone stops the control log's leader for good.
func (t *tour) leaderGone(ctx context.Context) (answer, error) {
	name, err := t.leader(ctx)
	if err != nil {
		return answer{}, err
	}
	if err := t.site.parts[name].stop(); err != nil {
		return answer{}, err
	}
	delete(t.site.parts, name)
	var a answer
	err = t.until(ctx, "the edit is accepted", func() error {
		var err error
		a, err = t.edit(ctx, "tour-2", "max-in-flight = 220\n")
		return err
	})
	return a, err
}

func (t *tour) leader(ctx context.Context) (string, error) {
	a, err := call{method: http.MethodGet, url: t.site.url(1) + "/status", key: operatorKey}.do(ctx)
	if err != nil {
		return "", err
	}
	var r status.Report
	if err := json.Unmarshal([]byte(a.body), &r); err != nil {
		return "", err
	}
	for _, x := range r.Replicas {
		if x.Role == "leader" {
			return x.Name, nil
		}
	}
	return "", fmt.Errorf("no control replica leads")
}

// until repeats f until it succeeds.
func (t *tour) until(ctx context.Context, what string, f func() error) error {
	end := time.Now().Add(waitTime)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return fmt.Errorf("%s: %w", what, err)
		}
		time.Sleep(waitInterval)
	}
}
