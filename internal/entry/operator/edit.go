package operator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/settings/section"
	"hornbeamwood/internal/settings/tree"
)

// Headers of an edit.
const (
	// EditIDHeader carries the edit ID. A resend carries the same ID.
	EditIDHeader = "Idempotency-Key"
	// BaseHeader carries the revision that the edit is based on, in the form of the ETag header.
	BaseHeader = "If-Match"
)

// waitParameter and waitInForce form the query parameter that delays the response until the edit is in force.
const (
	waitParameter = "wait"
	waitInForce   = "in-force"
)

// put replaces a branch and its descendants with the body.
func (h *handler) put(w http.ResponseWriter, r *http.Request, operator string) error {
	return h.editWithBody(w, r, operator, func(s tree.Subtree) []tree.Change {
		return []tree.Change{s.Replace()}
	})
}

// patch merges the body into a branch and its descendants.
func (h *handler) patch(w http.ResponseWriter, r *http.Request, operator string) error {
	return h.editWithBody(w, r, operator, tree.Subtree.Merge)
}

func (h *handler) editWithBody(w http.ResponseWriter, r *http.Request, operator string, changes func(tree.Subtree) []tree.Change) error {
	e, err := parseEdit(r, operator)
	if err != nil {
		return err
	}
	p, err := parsePath(r)
	if err != nil {
		return err
	}
	s, err := h.readSubtree(w, r, p)
	if err != nil {
		return err
	}
	e.Changes = changes(s)
	return h.submit(w, r, e)
}

// remove deletes a branch from the tree or, with ?key=, one of its settings.
func (h *handler) remove(w http.ResponseWriter, r *http.Request, operator string) error {
	e, err := parseEdit(r, operator)
	if err != nil {
		return err
	}
	p, err := parsePath(r)
	if err != nil {
		return err
	}
	c := tree.Change{Action: tree.Remove, Path: p}
	if key := r.URL.Query().Get("key"); key != "" {
		c.Action = tree.Unset
		c.Key = key
	}
	e.Changes = []tree.Change{c}
	return h.submit(w, r, e)
}

// parseEdit returns the edit described by the headers of a request, without its changes.
func parseEdit(r *http.Request, operator string) (section.Edit, error) {
	if wait := r.URL.Query().Get(waitParameter); wait != "" && wait != waitInForce {
		return section.Edit{}, badRequest("wait", "?%s= takes %s only", waitParameter, waitInForce)
	}
	id := r.Header.Get(EditIDHeader)
	if id == "" {
		return section.Edit{}, badRequest("no-edit-id", "an edit carries its id as %s, so that it can be sent again", EditIDHeader)
	}
	if err := section.CheckID(id); err != nil {
		return section.Edit{}, badRequest("edit-id", "%s: %v", EditIDHeader, err)
	}
	base, err := parseBase(r.Header.Values(BaseHeader))
	if err != nil {
		return section.Edit{}, err
	}
	return section.Edit{ID: id, Base: base, Operator: operator}, nil
}

// parseBase returns the revision from an If-Match header. Without a base revision an
// edit could overwrite changes that its operator has never seen.
func parseBase(values []string) (uint64, error) {
	if len(values) == 0 {
		return 0, verdict.New(verdict.NotRun, http.StatusPreconditionRequired, "no-base", "an edit names the revision that it was made against as %s", BaseHeader)
	}
	quoted, ok := strings.CutPrefix(values[0], `"`)
	digits, end := strings.CutSuffix(quoted, `"`)
	base, err := strconv.ParseUint(digits, 10, 64)
	if len(values) > 1 || ok != end || err != nil {
		return 0, badRequest("base", "%s takes one revision as an ETag gave it, for example %s", BaseHeader, etag(7))
	}
	return base, nil
}

func badRequest(code, format string, args ...any) error {
	return verdict.New(verdict.NotRun, http.StatusBadRequest, code, format, args...)
}

func etag(revision uint64) string {
	return fmt.Sprintf("%q", strconv.FormatUint(revision, 10))
}

// submit validates an edit against the entry's copy when that is at the base revision,
// and then proposes it to the log, which decides.
func (h *handler) submit(w http.ResponseWriter, r *http.Request, e section.Edit) error {
	e.Intent = h.Now().UnixNano()
	v := h.Settings.View()
	if e.Base == v.Revision() {
		if _, _, err := section.Check(v.Tree, e); err != nil {
			err = invalidSettings(err)
			h.logRefusedEdit(e, err)
			return err
		}
	}
	body, err := codec.Marshal(e)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.Timeout)
	defer cancel()
	result, err := h.Log.Propose(ctx, section.Name, body)
	if err != nil {
		return h.unknownOutcome(e, err)
	}
	o, err := codec.Unmarshal[section.Outcome](result)
	if err != nil {
		return h.unknownOutcome(e, err)
	}
	return h.answerOutcome(w, r, e, o)
}
