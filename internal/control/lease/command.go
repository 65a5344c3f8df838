package lease

import "time"

// Name is the section's name in the control log.
const Name = "leases"

// Limits of what a command may ask.
const (
	MaxDuration = time.Hour
	MaxName     = 128
	MaxNote     = 16 << 10
	MaxLeases   = 4096
)

// Command is one change of the leases; exactly one field is set.
type Command struct {
	// Acquire asks for a lease.
	Acquire *Acquire `cbor:"acquire,omitempty"`
	// Renew makes a lease last longer.
	Renew *Renew `cbor:"renew,omitempty"`
	// Release gives a lease back.
	Release *Release `cbor:"release,omitempty"`
}

// Acquire asks for a lease; asked again by the one who holds it, it renews, so that a lost answer costs nothing.
type Acquire struct {
	// Name names the lease.
	Name string `cbor:"name"`
	// Holder names the process and its start, so that a process that restarts is another holder.
	Holder string `cbor:"holder"`
	// Duration is how long the lease lasts.
	Duration time.Duration `cbor:"duration"`
}

// Renew makes a lease last for Duration from now on.
type Renew struct {
	// Name and Holder are those of the Acquire.
	Name   string `cbor:"name"`
	Holder string `cbor:"holder"`
	// Fencing is the number that the Acquire returned.
	Fencing uint64 `cbor:"fencing"`
	// Duration is how long the lease lasts.
	Duration time.Duration `cbor:"duration"`
	// Note replaces the lease's note when NoteVersion is above the one that is there; the next holder gets it.
	//
	// A renewal that is overtaken by a later one would otherwise put an old
	// note back, and the next holder would not know of the last orders.
	Note        []byte `cbor:"note,omitempty"`
	NoteVersion uint64 `cbor:"note-version,omitempty"`
}

// Release gives a lease back; the next holder has no time to wait out.
type Release struct {
	// Name and Holder are those of the Acquire.
	Name   string `cbor:"name"`
	Holder string `cbor:"holder"`
	// Fencing is the number that the Acquire returned.
	Fencing uint64 `cbor:"fencing"`
}
