package operator

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/settings/section"
	"hornbeamwood/internal/settings/tree"
)

// query returns the section's answer, which holds all edits accepted before the call.
func query[T any](r *http.Request, h *handler, q section.Query) (T, error) {
	var none T
	body, err := codec.Marshal(q)
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.Timeout)
	defer cancel()
	answer, err := h.Log.Read(ctx, section.Name, body)
	if err != nil {
		return none, unread(err)
	}
	v, err := codec.Unmarshal[T](answer)
	if err != nil {
		return none, unread(err)
	}
	return v, nil
}

// unread returns err as an answer; a read changes nothing, so it never may have run.
func unread(err error) error {
	if v, ok := verdict.As(err); ok {
		return v.WithVerdict(verdict.NotRun)
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no-answer", "the control log did not answer").
		WithRetryAfter(retryUnknown).
		WithCause(err)
}

func noBranch(p tree.Path) error {
	return verdict.New(verdict.NotRun, http.StatusNotFound, "no-branch", "the tree has no branch %s", p)
}

// branch shows a branch and those below it.
func (h *handler) branch(w http.ResponseWriter, r *http.Request, _ string) error {
	p, err := pathOf(r)
	if err != nil {
		return err
	}
	d, err := query[section.Dump](r, h, section.Query{Kind: section.QueryBranch, Path: p})
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(d.Revision))
	if !d.Found {
		return noBranch(p)
	}
	format, media := tree.FormatJSON, mediaJSON
	if strings.Contains(r.Header.Get("Accept"), mediaTOML) {
		format, media = tree.FormatTOML, mediaTOML
	}
	b, err := format(p, d.Branches)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", media)
	_, _ = w.Write(b)
	return nil
}

// explain shows the effective values of a branch, with ?key= one of them.
func (h *handler) explain(w http.ResponseWriter, r *http.Request, _ string) error {
	p, err := pathOf(r)
	if err != nil {
		return err
	}
	x, err := query[section.Explanation](r, h, section.Query{Kind: section.QueryExplain, Path: p})
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(x.Revision))
	if !x.Found {
		return noBranch(p)
	}
	if key := r.URL.Query().Get("key"); key != "" {
		if x.Values, err = only(x.Values, p, key); err != nil {
			return err
		}
	}
	return writeJSON(w, http.StatusOK, x)
}

// only returns the value under key.
func only(all []section.EffectiveValue, p tree.Path, key string) ([]section.EffectiveValue, error) {
	for _, v := range all {
		if v.Key == key {
			return []section.EffectiveValue{v}, nil
		}
	}
	_, err := tree.Lookup(p.Kind(), key)
	return nil, verdict.New(verdict.NotRun, http.StatusNotFound, "no-setting", "%s: %v", tree.Label(p, key), err)
}

// history shows the audit trail, newest first.
func (h *handler) history(w http.ResponseWriter, r *http.Request, _ string) error {
	to, err := number(r, "to")
	if err != nil {
		return err
	}
	limit, err := number(r, "limit")
	if err != nil {
		return err
	}
	q := section.Query{Kind: section.QueryHistory, To: to, Limit: int(min(limit, 1<<16))}
	trail, err := query[section.History](r, h, q)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(trail.Revision))
	return writeJSON(w, http.StatusOK, trail)
}

// diff shows the net differences between two revisions.
func (h *handler) diff(w http.ResponseWriter, r *http.Request, _ string) error {
	from, err := number(r, "from")
	if err != nil {
		return err
	}
	to, err := number(r, "to")
	if err != nil {
		return err
	}
	d, err := query[section.Diff](r, h, section.Query{Kind: section.QueryDiff, From: from, To: to})
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(d.Revision))
	if !d.Known {
		return verdict.New(verdict.NotRun, http.StatusNotFound, "no-history", "the history does not have all edits from revision %d to %d", from, d.To)
	}
	return writeJSON(w, http.StatusOK, d)
}

// number returns a parameter of the URL, 0 when it is missing.
func number(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest("number", "?%s= takes a whole number", name)
	}
	return n, nil
}
