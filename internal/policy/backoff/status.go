package backoff

import "net/http"

// Refuses returns whether a response with that status may request a backoff by a time to come back.
func Refuses(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
