package suspicion

import "time"

// Loss is the loss of one server while it ran a fingerprint.
type Loss struct {
	// Server is the lost server's identity.
	Server string `cbor:"s"`
	// Incarnation is the incarnation of the lost server.
	Incarnation uint64 `cbor:"i"`
	// At is when the loss was recorded, in nanoseconds since 1970.
	At int64 `cbor:"a"`
	// Began is set if the server had begun the answer of each run that held the attribute.
	Began bool `cbor:"b,omitempty"`
}

// Same reports whether l and m are the same event.
func (l Loss) Same(m Loss) bool {
	return l.Server == m.Server && l.Incarnation == m.Incarnation
}

// Has reports whether losses contains the event l.
func Has(losses []Loss, l Loss) bool {
	for _, m := range losses {
		if l.Same(m) {
			return true
		}
	}
	return false
}

// Recent returns the losses that are younger than window at the time at.
func Recent(losses []Loss, at time.Time, window time.Duration) []Loss {
	oldest := at.Add(-window).UnixNano()
	var recent []Loss
	for _, l := range losses {
		if l.At > oldest {
			recent = append(recent, l)
		}
	}
	return recent
}
