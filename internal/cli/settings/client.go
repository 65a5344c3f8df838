package settings

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/entry/operator"
	"hornbeamwood/internal/settings/tree"
)

// maxResponse bounds the bytes that are read of a response.
const maxResponse = 64 << 20

// request is one request to the operators' interface.
type request struct {
	method      string
	route       string
	path        tree.Path
	query       url.Values
	contentType string
	accept      string
	body        []byte
	base        string
	editID      string
}

// response is one successful response.
type response struct {
	status   int
	revision string
	body     []byte
}

// do sends r once. A RefusedError is the entry's own response; after any other
// error it is unknown whether the request arrived.
func (c Config) do(ctx context.Context, r request) (response, error) {
	target, err := c.target(r)
	if err != nil {
		return response{}, err
	}
	q, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return response{}, usage("--entry", "%v", err)
	}
	for name, value := range map[string]string{
		"Authorization":       "Bearer " + c.Key,
		"Accept":              r.accept,
		"Content-Type":        r.contentType,
		operator.BaseHeader:   r.base,
		operator.EditIDHeader: r.editID,
	} {
		if value != "" {
			q.Header.Set(name, value)
		}
	}
	a, err := c.Client.Do(q)
	if err != nil {
		return response{}, fmt.Errorf("entry %s: %w", c.Entry, err)
	}
	defer a.Body.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxResponse))
	if err != nil {
		return response{}, fmt.Errorf("entry %s: %w", c.Entry, err)
	}
	if a.StatusCode >= http.StatusMultipleChoices {
		return response{}, refusedError(a.StatusCode, body)
	}
	return response{status: a.StatusCode, revision: a.Header.Get("ETag"), body: body}, nil
}

func (c Config) target(r request) (string, error) {
	base, err := url.Parse(c.Entry)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return "", usage("--entry", "must be the URL of an entry, for example http://127.0.0.1:8080, not %q", c.Entry)
	}
	if c.Key == "" {
		return "", usage("--key-file", "an operator's key is required")
	}
	u := base.JoinPath(r.route, strings.TrimSuffix(string(r.path), "/"))
	u.RawQuery = r.query.Encode()
	return u.String(), nil
}

func refusedError(status int, body []byte) error {
	e := RefusedError{Status: status}
	if err := json.Unmarshal(body, &e.Failure); err != nil || e.Failure.Error.Code == "" {
		e.Failure.Error.Code = "unexpected-answer"
		e.Failure.Error.Message = fmt.Sprintf("the response with status %d was not written by an entry", status)
	}
	return e
}

// outcomeUnknown reports whether the outcome of an edit is unknown after err.
func outcomeUnknown(err error) bool {
	var u UsageError
	if err == nil || errors.As(err, &u) {
		return false
	}
	var r RefusedError
	return !errors.As(err, &r) || r.Failure.Verdict == verdict.MayHaveRun
}
