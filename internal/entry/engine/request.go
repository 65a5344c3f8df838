package engine

import "net/http"

// Request is one attempt at a streamed completion.
type Request struct {
	// ID is the ID of the caller's request, equal for all attempts.
	ID string
	// Attempt is the globally unique ID of the attempt.
	Attempt string
	// Workspace is the caller's workspace.
	Workspace string
	// Path is the protocol's path, for example /v1/chat/completions.
	Path string
	// Body is the JSON object with stream set to true.
	Body []byte
	// Priority orders requests at the engine; higher ones run first.
	Priority int
	// WeightVersion is the weight version that must run the request.
	WeightVersion string
	// Header holds additional headers, for example those that list cache blocks to import.
	Header http.Header
}
