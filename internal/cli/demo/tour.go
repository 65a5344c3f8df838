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

// Sizes of the tour's prompts in pieces of 4,000 tokens, and the time limits of its steps.
const (
	pieceTextBytes  = 16_000
	dossierPieces   = 8
	fillerPieces    = 5
	fillersPerRound = 4
	stepTimeout     = 15 * time.Second
	retryInterval   = 50 * time.Millisecond
)

// tour is the scripted run of demo --once.
type tour struct {
	site *site
	rows []row
	// fillersSent counts the filler prompts, which evict other prompts; each is different.
	fillersSent int
}

// steps lists the steps of the tour in order.
var steps = []struct {
	name string
	run  func(t *tour, ctx context.Context) (response, error)
}{
	{"dossier, first time", (*tour).dossierFirst},
	{"dossier returns after eviction", (*tour).dossierReturns},
	{"logbook, first time", (*tour).logbookFirst},
	{"logbook returns after eviction", (*tour).logbookReturns},
	{"status read", (*tour).statusRead},
	{"issue stamp sent twice", (*tour).stampTwice},
	{"settings change in force", (*tour).settingsChange},
	{"backend server lost", (*tour).serverLost},
	{"control leader gone, edit accepted", (*tour).leaderStopped},
}

// run runs all steps and reports whether all passed.
func (t *tour) run(ctx context.Context) bool {
	all := true
	for _, s := range steps {
		a, err := s.run(t, ctx)
		r := row{step: s.name, response: a, passed: err == nil}
		if err != nil {
			r.reason = err.Error()
			all = false
		}
		t.rows = append(t.rows, r)
	}
	return all
}

// promptText returns a prompt of n pieces that is unique to name.
func promptText(name string, n int) string {
	sentence := name + ": coating lot, plant, date, result; "
	return strings.Repeat(sentence, n*pieceTextBytes/len(sentence)+1)
}

// complete sends a completion request and returns an error unless the response is complete.
func (t *tour) complete(ctx context.Context, entry int, key, model, prompt string) (response, error) {
	a, err := completion(t.site.url(entry), key, model, prompt).do(ctx)
	if err != nil {
		return a, err
	}
	if a.status != http.StatusOK || !a.Complete {
		return a, fmt.Errorf("status %d, complete %v: %.200s", a.status, a.Complete, a.body)
	}
	return a, nil
}

func (t *tour) dossierFirst(ctx context.Context) (response, error) {
	return t.complete(ctx, 0, draftKey, "draft", promptText("dossier", dossierPieces))
}

func (t *tour) dossierReturns(ctx context.Context) (response, error) {
	return t.sendAfterEviction(ctx, draftKey, "draft", "lot-note-check", promptText("dossier", dossierPieces))
}

func (t *tour) logbookFirst(ctx context.Context) (response, error) {
	return t.complete(ctx, 0, logbookKey, "logbook-check", promptText("logbook", dossierPieces))
}

func (t *tour) logbookReturns(ctx context.Context) (response, error) {
	return t.sendAfterEviction(ctx, logbookKey, "logbook-check", "schedule-question", promptText("logbook", dossierPieces))
}

// sendAfterEviction evicts a prompt from the engines' caches with filler prompts and
// sends it again through the other entry, until its pieces come from a store.
func (t *tour) sendAfterEviction(ctx context.Context, key, model, filler, prompt string) (response, error) {
	var a response
	err := t.until(ctx, "most of the prompt comes from the store", func() error {
		for i := range fillersPerRound {
			if _, err := t.complete(ctx, i%entries, key, filler, t.filler()); err != nil {
				return err
			}
		}
		var err error
		if a, err = t.complete(ctx, 1, key, model, prompt); err != nil {
			return err
		}
		if a.ImportedBytes == 0 || a.RecomputedShare() > 0.5 {
			return fmt.Errorf("%.0f %% recomputed, %d bytes imported", 100*a.RecomputedShare(), a.ImportedBytes)
		}
		return nil
	})
	return a, err
}

func (t *tour) filler() string {
	t.fillersSent++
	return promptText(fmt.Sprintf("filler %d", t.fillersSent), fillerPieces)
}

func (t *tour) statusRead(ctx context.Context) (response, error) {
	return t.complete(ctx, 1, draftKey, "status-read", "is lot 7 released?")
}

func (t *tour) stampTwice(ctx context.Context) (response, error) {
	stamp := apiCall{method: http.MethodPost, key: draftKey, body: `{"lot": 7}`, header: map[string]string{"Idempotency-Key": "lot-7"}}
	var all []response
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

// edit changes one setting based on the newest revision and waits until it is in force.
func (t *tour) edit(ctx context.Context, id, body string) (response, error) {
	branch := t.site.url(1) + "/settings/workspaces/bogota"
	got, err := apiCall{method: http.MethodGet, url: branch, key: operatorKey}.do(ctx)
	if err != nil {
		return got, err
	}
	a, err := apiCall{
		method: http.MethodPatch, url: branch + "?wait=in-force", key: operatorKey, body: body,
		header: map[string]string{"Content-Type": "application/toml", "If-Match": got.etag, "Idempotency-Key": id},
	}.do(ctx)
	if err == nil && a.status != http.StatusOK {
		err = fmt.Errorf("status %d: %.200s", a.status, a.body)
	}
	return a, err
}

func (t *tour) settingsChange(ctx context.Context) (response, error) {
	return t.edit(ctx, "tour-1", "max-in-flight = 200\n")
}

// serverLost crashes one of the two drafting servers.
func (t *tour) serverLost(ctx context.Context) (response, error) {
	t.site.components["drafting-1"].crash()
	delete(t.site.components, "drafting-1")
	var a response
	for i := range fillersPerRound {
		var err error
		if a, err = t.complete(ctx, i%entries, draftKey, "draft", fmt.Sprintf("short draft %d", i)); err != nil {
			return a, err
		}
	}
	return a, nil
}

// leaderStopped stops the leader of the control log permanently.
func (t *tour) leaderStopped(ctx context.Context) (response, error) {
	name, err := t.leader(ctx)
	if err != nil {
		return response{}, err
	}
	if err := t.site.components[name].stop(); err != nil {
		return response{}, err
	}
	delete(t.site.components, name)
	var a response
	err = t.until(ctx, "the edit is accepted", func() error {
		var err error
		a, err = t.edit(ctx, "tour-2", "max-in-flight = 220\n")
		return err
	})
	return a, err
}

func (t *tour) leader(ctx context.Context) (string, error) {
	a, err := apiCall{method: http.MethodGet, url: t.site.url(1) + "/status", key: operatorKey}.do(ctx)
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
	return "", fmt.Errorf("no control replica is the leader")
}

// until retries f until it succeeds or the timeout ends.
func (t *tour) until(ctx context.Context, what string, f func() error) error {
	end := time.Now().Add(stepTimeout)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return fmt.Errorf("%s: %w", what, err)
		}
		time.Sleep(retryInterval)
	}
}
