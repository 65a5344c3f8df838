package operator

import "net/http"

// Action is an additional operator request besides those for the settings tree.
type Action struct {
	// Pattern is the pattern for http.ServeMux: method and path.
	Pattern string
	// Run handles the request of an authenticated operator. Its error is a verdict.Error.
	Run func(w http.ResponseWriter, r *http.Request, operator string) error
}

// WriteJSON writes a JSON response to an operator.
func WriteJSON(w http.ResponseWriter, status int, body any) error {
	return writeJSON(w, status, body)
}
