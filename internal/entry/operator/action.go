package operator

import "net/http"

// Action is a further request that operators may make, beside those for the settings tree.
type Action struct {
	// Pattern is the method and path for the mux.
	Pattern string
	// Run answers a known operator; its error is a verdict.Error.
	Run func(w http.ResponseWriter, r *http.Request, operator string) error
}

// WriteJSON writes an operator's answer.
func WriteJSON(w http.ResponseWriter, status int, body any) error {
	return writeJSON(w, status, body)
}
