package quarantine

import (
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// Command is the body of one log command; exactly one field is set.
type Command struct {
	Lost   *Lost   `cbor:"lost,omitempty"`
	Begin  *Begin  `cbor:"begin,omitempty"`
	Finish *Finish `cbor:"finish,omitempty"`
	Clear  *Clear  `cbor:"clear,omitempty"`
}

// Lost reports a lost server with what an entry ran there; each entry reports its own.
type Lost struct {
	// Server is the lost server's identity.
	Server string `cbor:"server"`
	// Incarnation is that of the lost server.
	Incarnation uint64 `cbor:"incarnation"`
	// Running are the requests that the entry had there.
	Running []Running `cbor:"running"`
	// Servers is the number of different servers that quarantines, from the fleet's rules.
	Servers int `cbor:"servers"`
	// Window is the time within which losses count, from the fleet's rules.
	Window time.Duration `cbor:"window"`
}

// Running is one request on a lost server.
type Running struct {
	// Fingerprint is the request's.
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	// Workspace is whose request it is.
	Workspace string `cbor:"workspace"`
	// Model is what it asked.
	Model string `cbor:"model"`
}

// Begin asks for the probe slot of a suspect at a server.
type Begin struct {
	// Fingerprint is the suspect's.
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	// Server is where it would run.
	Server string `cbor:"server"`
	// Elsewhere is true when the entry could use another server.
	Elsewhere bool `cbor:"elsewhere,omitempty"`
	// Attempt is unique for ever.
	Attempt string `cbor:"attempt"`
	// Lease is how long the slot is held without a Finish.
	Lease time.Duration `cbor:"lease"`
}

// Finish gives a probe slot back.
type Finish struct {
	// Fingerprint is the suspect's.
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	// Attempt is the one of the Begin.
	Attempt string `cbor:"attempt"`
	// Whole is true when the answer was whole and the server lives, which clears the suspect.
	Whole bool `cbor:"whole"`
}

// Clear is an operator's release of a fingerprint.
type Clear struct {
	// Fingerprint is whose standing becomes clear.
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	// Operator is who says so.
	Operator string `cbor:"operator"`
}
