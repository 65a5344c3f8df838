package engine

import "net/http"

// Request is one attempt at a streamed completion.
type Request struct {
	// ID is the caller's request, equal for all attempts.
	ID string
	// Attempt is unique for ever.
	Attempt string
	// Workspace is the caller's workspace.
	Workspace string
	// Path is the protocol's path, for example /v1/chat/completions.
	Path string
	// Body is the JSON object with stream set to true.
	Body []byte
	// Priority orders requests at the engine; higher goes first.
	Priority int
	// WeightVersion is the version that must run.
	WeightVersion string
	// Header holds further headers, for example those that name cache blocks to import.
	Header http.Header
}
