package membership

// Cause is the reason for the outcome of a merge.
type Cause string

// Causes of accepted, duplicate and stale merges.
const (
	NewServer        Cause = "new-server"
	NewIncarnation   Cause = "new-incarnation"
	NewerSequence    Cause = "newer-sequence"
	LateLeaving      Cause = "late-leaving"
	SameSequence     Cause = "same-sequence"
	OlderSequence    Cause = "older-sequence"
	OlderIncarnation Cause = "older-incarnation"
)

// Causes of refused merges.
const (
	BadField         Cause = "bad-field"
	IdentityConflict Cause = "identity-conflict"
	AddressConflict  Cause = "address-conflict"
	TooManyServers   Cause = "too-many-servers"
)
