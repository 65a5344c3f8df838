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

// querySection queries the settings section. The answer reflects all edits accepted before the call.
func querySection[T any](r *http.Request, h *handler, q section.Query) (T, error) {
	var zero T
	body, err := codec.Marshal(q)
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.Timeout)
	defer cancel()
	answer, err := h.Log.Read(ctx, section.Name, body)
	if err != nil {
		return zero, readError(err)
	}
	v, err := codec.Unmarshal[T](answer)
	if err != nil {
		return zero, readError(err)
	}
	return v, nil
}

// readError returns the error response for a failed read. A read changes nothing, so its verdict is always not-run.
func readError(err error) error {
	if v, ok := verdict.As(err); ok {
		return v.WithVerdict(verdict.NotRun)
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no-answer", "the control log did not answer").
		WithRetryAfter(retryDelay).
		WithCause(err)
}

func noBranch(p tree.Path) error {
	return verdict.New(verdict.NotRun, http.StatusNotFound, "no-branch", "the tree has no branch %s", p)
}

// showBranch responds with a branch and its descendants.
func (h *handler) showBranch(w http.ResponseWriter, r *http.Request, _ string) error {
	p, err := parsePath(r)
	if err != nil {
		return err
	}
	d, err := querySection[section.Dump](r, h, section.Query{Kind: section.QueryBranch, Path: p})
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

// explain responds with the effective values of a branch or, with ?key=, one of them.
func (h *handler) explain(w http.ResponseWriter, r *http.Request, _ string) error {
	p, err := parsePath(r)
	if err != nil {
		return err
	}
	x, err := querySection[section.Explanation](r, h, section.Query{Kind: section.QueryExplain, Path: p})
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(x.Revision))
	if !x.Found {
		return noBranch(p)
	}
	if key := r.URL.Query().Get("key"); key != "" {
		if x.Values, err = selectKey(x.Values, p, key); err != nil {
			return err
		}
	}
	return writeJSON(w, http.StatusOK, x)
}

// selectKey returns only the value of key.
func selectKey(all []section.EffectiveValue, p tree.Path, key string) ([]section.EffectiveValue, error) {
	for _, v := range all {
		if v.Key == key {
			return []section.EffectiveValue{v}, nil
		}
	}
	_, err := tree.Lookup(p.Kind(), key)
	return nil, verdict.New(verdict.NotRun, http.StatusNotFound, "no-setting", "%s: %v", tree.Label(p, key), err)
}

// history responds with the audit trail, newest first.
func (h *handler) history(w http.ResponseWriter, r *http.Request, _ string) error {
	to, err := uintParameter(r, "to")
	if err != nil {
		return err
	}
	limit, err := uintParameter(r, "limit")
	if err != nil {
		return err
	}
	q := section.Query{Kind: section.QueryHistory, To: to, Limit: int(min(limit, 1<<16))}
	trail, err := querySection[section.History](r, h, q)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(trail.Revision))
	return writeJSON(w, http.StatusOK, trail)
}

// diff responds with the net differences between two revisions.
func (h *handler) diff(w http.ResponseWriter, r *http.Request, _ string) error {
	from, err := uintParameter(r, "from")
	if err != nil {
		return err
	}
	to, err := uintParameter(r, "to")
	if err != nil {
		return err
	}
	d, err := querySection[section.Diff](r, h, section.Query{Kind: section.QueryDiff, From: from, To: to})
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(d.Revision))
	if !d.Known {
		return verdict.New(verdict.NotRun, http.StatusNotFound, "no-history", "the history does not have all edits from revision %d to %d", from, d.To)
	}
	return writeJSON(w, http.StatusOK, d)
}

// uintParameter returns a query parameter as an unsigned integer, 0 when it is missing.
func uintParameter(r *http.Request, name string) (uint64, error) {
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
