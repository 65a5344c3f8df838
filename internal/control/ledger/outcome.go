package ledger

// Outcome records the complete answer to a dispatched call.
type Outcome struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope"`
	// Attempt is the claim's attempt.
	Attempt string `cbor:"attempt"`
	// Digest is the request's digest.
	Digest Digest `cbor:"digest"`
	// Answer is the service's response.
	Answer Answer `cbor:"answer"`
}

// Answer is a service's HTTP response as it is recorded and replayed to resends.
type Answer struct {
	// Status is the HTTP status, or zero if an operator resolved the call as ran.
	Status int `cbor:"status"`
	// Headers are the headers that are replayed to callers.
	Headers []Header `cbor:"headers,omitempty"`
	// Body is the complete body.
	Body []byte `cbor:"body,omitempty"`
	// Dropped is true if the body was too large to be recorded, or was never received.
	Dropped bool `cbor:"dropped,omitempty"`
}

// Header is one header of a recorded answer.
type Header struct {
	// Name is the canonical header name.
	Name string `cbor:"n"`
	// Value is one header value.
	Value string `cbor:"v"`
}

// withinLimits reports whether a is within the limits for recorded answers.
func (a Answer) withinLimits() bool {
	if a.Status < 0 || a.Status > 999 || len(a.Body) > MaxBody || len(a.Headers) > MaxHeaders {
		return false
	}
	size := 0
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size <= MaxHeaderBytes
}
