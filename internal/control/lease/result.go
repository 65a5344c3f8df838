package lease

import "time"

// Reason says why a command was refused.
type Reason string

const (
	// Held means that another holder's lease has not run out.
	Held Reason = "held"
	// Lost means that the lease has run out, was released or went to another holder.
	Lost Reason = "lost"
	// Malformed means that a field is missing or out of bounds.
	Malformed Reason = "malformed"
	// TooMany means that no further lease fits.
	TooMany Reason = "too-many"
)

// Result is what a Command returns.
type Result struct {
	// Granted says that the asker holds the lease, or has released it.
	Granted bool `cbor:"granted"`
	// Reason is set when it does not.
	Reason Reason `cbor:"reason,omitempty"`
	// Holder is who holds the lease now.
	Holder string `cbor:"holder,omitempty"`
	// Fencing is the number of the one who holds the lease.
	Fencing uint64 `cbor:"fencing"`
	// Expires is the time of the control log at which the lease runs out, in nanoseconds since 1970.
	Expires int64 `cbor:"expires"`
	// Wait is how long the earlier holder may still believe in its lease, counted by the new holder from when it got this.
	//
	// A leader with a clock that is ahead ends a lease early in the log while
	// its holder still counts. Who waits this long by its own clock gives no
	// order while the earlier holder gives one.
	Wait time.Duration `cbor:"wait,omitempty"`
	// Note is what the earlier holder left.
	Note []byte `cbor:"note,omitempty"`
}

// Query asks for the lease of a name.
type Query struct {
	// Name names the lease.
	Name string `cbor:"name"`
}

// Answer answers a Query.
type Answer struct {
	// Known says that the lease was granted before.
	Known bool `cbor:"known"`
	// Lease is the lease.
	Lease Lease `cbor:"lease"`
}

// Lease is one named lease.
type Lease struct {
	// Name names the lease.
	Name string `cbor:"name"`
	// Holder holds it or held it last.
	Holder string `cbor:"holder"`
	// Fencing is the holder's number.
	Fencing uint64 `cbor:"fencing"`
	// Duration is how long the last grant lasts.
	Duration time.Duration `cbor:"duration"`
	// Expires is the time of the control log at which it runs out, in nanoseconds since 1970.
	Expires int64 `cbor:"expires"`
	// Released says that the holder gave it back.
	Released bool `cbor:"released,omitempty"`
	// Wait is how long the earlier holder may still believe in its lease.
	Wait time.Duration `cbor:"wait,omitempty"`
	// Note is what the holder leaves for the next one.
	Note []byte `cbor:"note,omitempty"`
	// NoteVersion is a larger number with each note of one holder.
	NoteVersion uint64 `cbor:"note-version,omitempty"`
}

func (l Lease) live(at time.Time) bool {
	return !l.Released && at.UnixNano() < l.Expires
}

func (l Lease) granted() Result {
	return Result{Granted: true, Holder: l.Holder, Fencing: l.Fencing, Expires: l.Expires}
}

// acquired returns the grant with what a new holder needs, also when its first answer was lost.
func (l Lease) acquired() Result {
	r := l.granted()
	r.Wait = l.Wait
	r.Note = l.Note
	return r
}

func (l Lease) refused(r Reason) Result {
	return Result{Reason: r, Holder: l.Holder, Fencing: l.Fencing, Expires: l.Expires}
}
