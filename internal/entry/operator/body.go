package operator

import (
	"errors"
	"mime"
	"net/http"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/inbound"
	"hornbeamwood/internal/settings/tomlfile"
	"hornbeamwood/internal/settings/tree"
)

// Media types of settings bodies.
const (
	mediaJSON = "application/json"
	mediaTOML = "application/toml"
)

// parsePath returns the settings branch from the request's path.
func parsePath(r *http.Request) (tree.Path, error) {
	p, err := tree.ParsePath(r.PathValue("path"))
	if err != nil {
		return "", verdict.New(verdict.NotRun, http.StatusNotFound, "no-branch", "%v", err)
	}
	return p, nil
}

// readSubtree reads and parses the body of an edit of branch p.
func (h *handler) readSubtree(w http.ResponseWriter, r *http.Request, p tree.Path) (tree.Subtree, error) {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || (media != mediaJSON && media != mediaTOML) {
		return tree.Subtree{}, verdict.New(verdict.NotRun, http.StatusUnsupportedMediaType, "media-type", "settings are sent as %s or %s", mediaTOML, mediaJSON)
	}
	b, err := inbound.ReadBody(w, r, h.MaxBody, time.Time{})
	if err != nil {
		return tree.Subtree{}, h.bodyError(err)
	}
	if err := inbound.ReserveDecoded(r.Context(), b); err != nil {
		return tree.Subtree{}, h.decodedError(err)
	}
	var s tree.Subtree
	if media == mediaTOML {
		s, err = tree.ParseTOML(p, "", b)
	} else {
		s, err = tree.ParseJSON(p, b)
	}
	if err != nil {
		return s, invalidSettings(err)
	}
	return s, nil
}

// decodedError returns the error response for a body that can't be decoded in the memory of this entry.
func (h *handler) decodedError(err error) error {
	if errors.Is(err, inbound.ErrTooLarge) {
		return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body-too-large", "the body has too many values for the memory of this entry").WithCause(err)
	}
	return h.bodyError(err)
}

func (h *handler) bodyError(err error) error {
	switch {
	case errors.Is(err, inbound.ErrTooLarge):
		return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body-too-large", "a body has %d bytes at most", h.MaxBody)
	case errors.Is(err, inbound.ErrTimeout):
		return verdict.New(verdict.NotRun, http.StatusRequestTimeout, "body-timeout", "the body did not arrive in time").WithCause(err)
	case errors.Is(err, inbound.ErrNoMemory), errors.Is(err, inbound.ErrInterrupted):
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no-memory", "this entry has no memory for the body now").WithRetryAfter(retryDelay).WithCause(err)
	}
	return verdict.New(verdict.NotRun, http.StatusBadRequest, "body-cut", "the body did not arrive whole").WithCause(err)
}

// invalidSettings returns the error response for an edit that failed validation before it was proposed.
//
// A body of 4 MiB can contain a hundred thousand problems. The list is truncated so
// that it does not fill the log and the operator's screen.
func invalidSettings(err error) error {
	var problems tomlfile.Problems
	if errors.As(err, &problems) {
		err = problems.Shown()
	}
	return verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, "invalid-settings", "the edit is not valid").WithCause(err)
}
