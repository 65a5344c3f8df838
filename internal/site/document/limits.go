package document

import "time"

// Limits bound the requests of callers; zero means no limit.
type Limits struct {
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int `cbor:"header-bytes"`
	// BodyBytes bounds the body of a request.
	BodyBytes int `cbor:"body-bytes"`
	// HeaderTimeout is how long reading the headers may take.
	HeaderTimeout time.Duration `cbor:"header-timeout"`
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration `cbor:"idle-timeout"`
}
