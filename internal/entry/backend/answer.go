package backend

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/node/inbound"
)

// Problem is the body of an error response.
type Problem struct {
	// Error describes what is wrong.
	Error ProblemDetail `json:"error"`
	// Fencing is the higher fencing number that the engine has seen; set with the code old-fencing.
	Fencing uint64 `json:"fencing,omitempty"`
}

// ProblemDetail describes what is wrong with a request.
type ProblemDetail struct {
	// Code is a machine-readable error code in kebab case.
	Code string `json:"code"`
	// Message is a human-readable sentence.
	Message string `json:"message"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

func (h *handler) refuse(w http.ResponseWriter, r *http.Request, status int, code, message string) {
	event.AnnouncementRefused.Write(h.config.Log, log.Fields{
		"from":    r.RemoteAddr,
		"path":    r.URL.Path,
		"status":  status,
		"code":    code,
		"message": message,
	})
	writeJSON(w, status, Problem{Error: ProblemDetail{Code: code, Message: message}})
}

// refuseBody answers 413 for a body above the size limit, whatever its Content-Length says,
// 408 and 503 for one that doesn't arrive in time or for which there is no memory,
// and 400 for a body that can't be read.
func (h *handler) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	switch {
	case errors.Is(err, inbound.ErrTooLarge):
		h.refuse(w, r, http.StatusRequestEntityTooLarge, "too-large", err.Error())
	case errors.Is(err, inbound.ErrTimeout):
		h.refuse(w, r, http.StatusRequestTimeout, "body-timeout", err.Error())
	case errors.Is(err, inbound.ErrNoMemory), errors.Is(err, inbound.ErrInterrupted):
		w.Header().Set("Retry-After", "1")
		h.refuse(w, r, http.StatusServiceUnavailable, "no-memory", err.Error())
	default:
		h.refuse(w, r, http.StatusBadRequest, "bad-body", err.Error())
	}
}
