package backend

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
)

// Problem is the body of a refusal.
type Problem struct {
	// Error says what is wrong.
	Error ProblemDetail `json:"error"`
	// Fencing is the higher fencing number that an engine has seen, for old-fencing.
	Fencing uint64 `json:"fencing,omitempty"`
}

// ProblemDetail says what is wrong with a request.
type ProblemDetail struct {
	// Code is a kebab-case word for programs.
	Code string `json:"code"`
	// Message is a sentence for people.
	Message string `json:"message"`
}

func answer(w http.ResponseWriter, status int, body any) {
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
	answer(w, status, Problem{Error: ProblemDetail{Code: code, Message: message}})
}

// refuseBody answers 413 for a body above its limit, whatever its header said, and 400 for one that can't be read.
func (h *handler) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		h.refuse(w, r, http.StatusRequestEntityTooLarge, "too-large", err.Error())
		return
	}
	h.refuse(w, r, http.StatusBadRequest, "bad-body", err.Error())
}
