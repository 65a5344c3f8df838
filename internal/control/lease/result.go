package lease

import "time"

// Reason is the reason why a command was rejected.
type Reason string

const (
	// Held means that another holder's lease has not expired.
	Held Reason = "held"
	// Lost means that the lease has expired, was released or belongs to another holder.
	Lost Reason = "lost"
	// Malformed means that a field is missing or out of bounds.
	Malformed Reason = "malformed"
	// TooMany means that the maximum number of leases is reached.
	TooMany Reason = "too-many"
)

// Result is the result of a Command.
type Result struct {
	// Granted is set when the caller holds the lease, or has released it.
	Granted bool `cbor:"granted"`
	// Reason is set when Granted is false.
	Reason Reason `cbor:"reason,omitempty"`
	// Holder is the current holder.
	Holder string `cbor:"holder,omitempty"`
	// Fencing is the fencing number of the current holder.
	Fencing uint64 `cbor:"fencing"`
	// Expires is the time by the control log's clock at which the lease expires, in nanoseconds since 1970.
	Expires int64 `cbor:"expires"`
	// Wait is how long the previous holder may still consider its lease valid, measured by the new holder from the receipt of the result.
	//
	// A leader whose clock is ahead lets a lease expire early in the log, while
	// its holder still considers it valid. A new holder that waits this long by
	// its own clock gives no orders at the same time as the previous one.
	Wait time.Duration `cbor:"wait,omitempty"`
	// Note is the previous holder's note.
	Note []byte `cbor:"note,omitempty"`
}

// Query requests the lease of a name.
type Query struct {
	// Name is the name of the lease.
	Name string `cbor:"name"`
}

// Answer is the answer to a Query.
type Answer struct {
	// Known is set when the lease was granted before.
	Known bool `cbor:"known"`
	// Lease is the lease.
	Lease Lease `cbor:"lease"`
}

// Lease is one named lease.
type Lease struct {
	// Name is the name of the lease.
	Name string `cbor:"name"`
	// Holder is the current or last holder.
	Holder string `cbor:"holder"`
	// Fencing is the holder's fencing number.
	Fencing uint64 `cbor:"fencing"`
	// Duration is the duration of the last grant or renewal.
	Duration time.Duration `cbor:"duration"`
	// Expires is the time by the control log's clock at which the lease expires, in nanoseconds since 1970.
	Expires int64 `cbor:"expires"`
	// Released is set when the holder released the lease.
	Released bool `cbor:"released,omitempty"`
	// Wait is how long the previous holder may still consider its lease valid.
	Wait time.Duration `cbor:"wait,omitempty"`
	// Note is the holder's note for the next holder.
	Note []byte `cbor:"note,omitempty"`
	// NoteVersion increases with each note of one holder.
	NoteVersion uint64 `cbor:"note-version,omitempty"`
}

func (l Lease) live(at time.Time) bool {
	return !l.Released && at.UnixNano() < l.Expires
}

func (l Lease) granted() Result {
	return Result{Granted: true, Holder: l.Holder, Fencing: l.Fencing, Expires: l.Expires}
}

// acquired returns a grant with the wait and note that a new holder needs, also after a resend.
func (l Lease) acquired() Result {
	r := l.granted()
	r.Wait = l.Wait
	r.Note = l.Note
	return r
}

func (l Lease) refused(r Reason) Result {
	return Result{Reason: r, Holder: l.Holder, Fencing: l.Fencing, Expires: l.Expires}
}
