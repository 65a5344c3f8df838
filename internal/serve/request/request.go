package request

import (
	"net/http"
	"time"

	"hornbeamwood/internal/serve/events"
)

// Request is one attempt of a caller.
type Request struct {
	// Attempt identifies the attempt; servers repeat it in their responses.
	Attempt string
	// Method, Host and Target are those of the request line and the Host header, byte for byte.
	Method, Host, Target string
	// Header holds the headers that are forwarded to a server.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// CallerTimeout is how long the caller waits, counted from Arrived; zero if not stated.
	CallerTimeout time.Duration
	// Arrived is when the request was read.
	Arrived time.Time
	// Key is the caller's API key.
	Key string
	// Prompt is set if the request contains a prompt for an engine.
	Prompt *Prompt
	// Unreadable says what of the description of a prompt can't be read, empty if there is none or all can.
	Unreadable string
	// LastEvent is after the last event that the caller received from earlier attempts.
	LastEvent events.Position
	// FirstAttempt is the attempt whose response contained the first event of the stream that the caller resumes;
	// empty if the caller names none. It may be any text.
	FirstAttempt string
}

// Prompt describes the input and output of an engine.
type Prompt struct {
	// Model is the name of the model.
	Model string
	// Tokens is the size of the prompt, Output the maximum number of tokens in the response.
	Tokens, Output int
	// Parts are the prompt's parts in order; the last one is specific to this request.
	Parts []Part
}

// Part is a part of a prompt that other prompts may share.
type Part struct {
	// ID identifies the part.
	ID string
	// Tokens is its size.
	Tokens int
	// Opaque is set if ID is a digest of an ID that can't be named to stores and engines. The part is neither saved
	// nor fetched.
	Opaque bool
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
