package backend

import (
	"encoding/json"
	"net/http"
)

// failure is the error body of the interface pages.
type failure struct {
	Error failureBody `json:"error"`
}

type failureBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Answer writes v as JSON with the given status.
func Answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Refuse writes an error and, with notRun, the header that says that nothing ran.
func Refuse(w http.ResponseWriter, status int, notRun bool, code, message string) {
	if notRun {
		w.Header().Set("Hornbeamwood-Verdict", "not-run")
	}
	Answer(w, status, failure{Error: failureBody{Code: code, Message: message}})
}
