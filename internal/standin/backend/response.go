package backend

import (
	"encoding/json"
	"net/http"
)

// errorBody is the body of an error response, as the interface pages specify it.
type errorBody struct {
	Error errorDetails `json:"error"`
}

type errorDetails struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// WriteJSON writes v as JSON with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes an error response. With notRun it sets the verdict header that says that nothing ran.
func WriteError(w http.ResponseWriter, status int, notRun bool, code, message string) {
	if notRun {
		w.Header().Set("Hornbeamwood-Verdict", "not-run")
	}
	WriteJSON(w, status, errorBody{Error: errorDetails{Code: code, Message: message}})
}
