package quarantine

import (
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// Command is the body of one log command; exactly one field is set.
type Command struct {
	Lost     *Lost     `cbor:"lost,omitempty"`
	Losses   []Lost    `cbor:"losses,omitempty"`
	Begin    *Begin    `cbor:"begin,omitempty"`
	Finish   *Finish   `cbor:"finish,omitempty"`
	Clear    *Clear    `cbor:"clear,omitempty"`
	Answered *Answered `cbor:"answered,omitempty"`
}

// Lost reports a lost server and the requests that the reporting entry ran on it. Each entry reports its own requests.
type Lost struct {
	// Server is the lost server's identity.
	Server string `cbor:"server"`
	// Incarnation is the lost server's incarnation.
	Incarnation uint64 `cbor:"incarnation"`
	// Running are the entry's requests on the server.
	Running []Running `cbor:"running"`
	// Servers is the number of distinct lost servers at which a request is quarantined, from the fleet's rules.
	Servers int `cbor:"servers"`
	// PartServers is the number of distinct lost servers at which a part of prompts is quarantined; zero if parts
	// aren't counted.
	PartServers int `cbor:"part-servers,omitempty"`
	// Delay is how long after entries have learned of it the quarantine of a part is in force.
	Delay time.Duration `cbor:"delay,omitempty"`
	// Window is how long a loss counts, from the fleet's rules.
	Window time.Duration `cbor:"window"`
	// Ago is how long before the report the server was lost.
	Ago time.Duration `cbor:"ago,omitempty"`
	// Hold is how long after its last loss a quarantined request is released; zero if only an operator clears it.
	Hold time.Duration `cbor:"hold,omitempty"`
}

// Running is one request on a lost server.
type Running struct {
	// Fingerprint is the request's fingerprint.
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	// Workspace is the workspace that sent the request.
	Workspace string `cbor:"workspace"`
	// Model is the requested model.
	Model string `cbor:"model"`
	// Age is how long before the report the run began; zero if the run counts whenever it began.
	Age time.Duration `cbor:"age,omitempty"`
	// Parts are the parts of the request's prompt that other requests may share, without those that the entry
	// has seen answered meanwhile.
	Parts []suspicion.Fingerprint `cbor:"parts,omitempty"`
	// RunAge is Age for the parts; Age if it is zero.
	RunAge time.Duration `cbor:"run-age,omitempty"`
	// Began is true if the server had begun its answer.
	Began bool `cbor:"began,omitempty"`
}

// Begin requests a server's probe slot for a suspect.
type Begin struct {
	// Fingerprint is the suspect's fingerprint.
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	// Server is the server on which the suspect would run.
	Server string `cbor:"server"`
	// Elsewhere is true if the entry could use another server.
	Elsewhere bool `cbor:"elsewhere,omitempty"`
	// Attempt is a globally unique ID that is never reused.
	Attempt string `cbor:"attempt"`
	// Lease is how long the slot is held if no Finish arrives.
	Lease time.Duration `cbor:"lease"`
}

// Finish releases a probe slot.
type Finish struct {
	// Fingerprint is the suspect's fingerprint.
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	// Attempt is the attempt of the Begin.
	Attempt string `cbor:"attempt"`
	// Whole is true if the answer was complete and the server is alive, which clears the suspect.
	Whole bool `cbor:"whole"`
}

// Clear is an operator's command to clear a fingerprint.
type Clear struct {
	// Fingerprint is the fingerprint to clear.
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	// Operator is the operator who cleared it.
	Operator string `cbor:"operator"`
}

// Answered reports attributes of requests that servers have answered completely, which clears them.
type Answered struct {
	// Fingerprints are the fingerprints of the attributes.
	Fingerprints []suspicion.Fingerprint `cbor:"fingerprints"`
}
