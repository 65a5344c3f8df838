package request

import (
	"net/http"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	// Attempt identifies the attempt; servers repeat it in their answers.
	Attempt string
	// Method, Host and Target are those of the request line and the host header, byte for byte.
	Method, Host, Target string
	// Header holds what is passed on to a server.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// CallerTimeout is how long the caller waits, counted from Arrived; zero when it doesn't say.
	CallerTimeout time.Duration
	// Arrived is when the request was read.
	Arrived time.Time
	// Key is the caller's API key.
	Key string
	// Prompt is set when the request carries one for an engine.
	Prompt *Prompt
	// LastEvent is the last event that the caller has of an earlier attempt; zero for none.
	LastEvent int64
}

// Prompt is what an engine reads and writes.
type Prompt struct {
	// Model names the model.
	Model string
	// Tokens is the size of the prompt, Output the most tokens of the answer.
	Tokens, Output int
	// Parts are the prompt's parts in their order; the last one is the request's own.
	Parts []Part
}

// Part is a piece of a prompt that other prompts may share.
type Part struct {
	// ID identifies the part.
	ID string
	// Tokens is its size.
	Tokens int
}

// Path returns the target without its query.
func (r Request) Path() string {
	for i := range len(r.Target) {
		if r.Target[i] == '?' {
			return r.Target[:i]
		}
	}
	return r.Target
}
