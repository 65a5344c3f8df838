package lease

import "time"

// Name is the section's name in the control log.
const Name = "leases"

// Limits of the fields of a command and of the number of leases.
const (
	MaxDuration = time.Hour
	// MaxNameBytes bounds the names of leases and holders.
	MaxNameBytes = 128
	MaxNoteBytes = 16 << 10
	MaxLeases    = 4096
)

// Command is a command of the section; exactly one field is set.
type Command struct {
	// Acquire requests a lease.
	Acquire *Acquire `cbor:"acquire,omitempty"`
	// Renew extends a lease.
	Renew *Renew `cbor:"renew,omitempty"`
	// Release releases a lease.
	Release *Release `cbor:"release,omitempty"`
}

// Acquire requests a lease. Resent by the current holder it renews the lease, so that a lost response has no effect.
type Acquire struct {
	// Name is the name of the lease.
	Name string `cbor:"name"`
	// Holder identifies the process and its incarnation, so that a restarted process is another holder.
	Holder string `cbor:"holder"`
	// Duration is how long the lease lasts.
	Duration time.Duration `cbor:"duration"`
}

// Renew extends a lease to last for Duration from now on.
type Renew struct {
	// Name and Holder are those of the Acquire.
	Name   string `cbor:"name"`
	Holder string `cbor:"holder"`
	// Fencing is the fencing number that the Acquire returned.
	Fencing uint64 `cbor:"fencing"`
	// Duration is how long the lease lasts.
	Duration time.Duration `cbor:"duration"`
	// Note replaces the lease's note if NoteVersion is greater than the current one; the next holder receives it.
	//
	// Without the version, a renewal that arrives after a later one would restore
	// an old note, and the next holder would not know of the last orders.
	Note        []byte `cbor:"note,omitempty"`
	NoteVersion uint64 `cbor:"note-version,omitempty"`
}

// Release releases a lease, so that the next holder does not have to wait.
type Release struct {
	// Name and Holder are those of the Acquire.
	Name   string `cbor:"name"`
	Holder string `cbor:"holder"`
	// Fencing is the fencing number that the Acquire returned.
	Fencing uint64 `cbor:"fencing"`
}
