package ledger

// Outcome records the whole answer of a dispatched call.
type Outcome struct {
	// Scope identifies the call.
	Scope Scope `cbor:"scope"`
	// Attempt is the claim's attempt.
	Attempt string `cbor:"attempt"`
	// Digest is that of the request.
	Digest Digest `cbor:"digest"`
	// Answer is what the service said.
	Answer Answer `cbor:"answer"`
}

// Answer is a service's answer as it is recorded and repeated.
type Answer struct {
	// Status is the HTTP status; zero when an operator resolved the call as ran.
	Status int `cbor:"status"`
	// Headers are those that are repeated to callers.
	Headers []Header `cbor:"headers,omitempty"`
	// Body is the whole body.
	Body []byte `cbor:"body,omitempty"`
	// Dropped is true when the body was too large to be recorded, or was never seen.
	Dropped bool `cbor:"dropped,omitempty"`
}

// Header is one header of a recorded answer.
type Header struct {
	// Name is the canonical name.
	Name string `cbor:"n"`
	// Value is one value.
	Value string `cbor:"v"`
}

// fits reports whether a is within the bounds of what is recorded.
func (a Answer) fits() bool {
	if a.Status < 0 || a.Status > 999 || len(a.Body) > MaxBody || len(a.Headers) > MaxHeaders {
		return false
	}
	size := 0
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size <= MaxHeaderBytes
}
