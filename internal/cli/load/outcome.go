package load

import "time"

// outcome is what came of one request.
type outcome struct {
	class string
	// first is the time to the first token, or to the answer of a plain service.
	first time.Duration
	// status is the HTTP status, 0 when no answer came.
	status int
	// whole says that the answer came to its end.
	whole bool
	// verdict is what a refusal says.
	verdict string
	// prompt, cached and imported are tokens, tokens and bytes.
	prompt, cached, imported int64
}
