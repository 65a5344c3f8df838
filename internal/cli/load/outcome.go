package load

import "time"

// outcome is the result of one request.
type outcome struct {
	class string
	// first is the time to the first token, or to the response of a plain service.
	first time.Duration
	// status is the HTTP status, 0 if there was no response.
	status int
	// whole reports whether the response was complete.
	whole bool
	// verdict is the Hornbeamwood-Verdict header of the response.
	verdict string
	// prompt and cached count tokens; imported counts bytes.
	prompt, cached, imported int64
}
