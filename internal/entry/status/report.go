package status

import (
	"hornbeamwood/internal/control/ledger"
)

// Report is the answer to GET /status.
type Report struct {
	// Entry is the entry that answers.
	Entry string `json:"entry"`
	// Revision is the settings revision that it has applied.
	Revision uint64 `json:"revision"`
	// Replicas are the control replicas.
	Replicas []Replica `json:"replicas"`
	// Entries are the entries that hold a settings lease.
	Entries []Entry `json:"entries"`
	// Servers are the backend servers.
	Servers []Server `json:"servers"`
	// Ledger counts the records of non-idempotent calls by state.
	Ledger ledger.Counts `json:"ledger"`
	// Quarantined is the number of quarantined requests.
	Quarantined int `json:"quarantined"`
	// Problems says what could not be asked.
	Problems []string `json:"problems,omitempty"`
}

// Replica is one control replica.
type Replica struct {
	// Name and Address are those of the node file.
	Name    string `json:"name"`
	Address string `json:"address"`
	// Role is leader, follower and so on, or unreachable.
	Role string `json:"role"`
	// Term and Applied are the replica's term and last applied log index.
	Term    uint64 `json:"term"`
	Applied uint64 `json:"applied"`
	// Identity names the replica with its disk.
	Identity string `json:"identity"`
	// Voters is the number of voting members that it knows.
	Voters int `json:"voters"`
	// Votes says that the replica itself is one of them.
	Votes bool `json:"votes"`
	// CaughtUp says that it has applied all that was committed.
	CaughtUp bool `json:"caught-up"`
}

// Entry is one entry that holds a settings lease.
type Entry struct {
	// Name is the entry's name.
	Name string `json:"name"`
	// Revision is the settings revision that it has applied.
	Revision uint64 `json:"revision"`
}

// Server is one backend server.
type Server struct {
	// Identity, Kind, Zone, Address and State are as announced.
	Identity string `json:"identity"`
	Kind     string `json:"kind"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	State    string `json:"state"`
	// Holds names models with versions, or services.
	Holds []string `json:"holds"`
	// AgeMillis is the age of its last announcement.
	AgeMillis int64 `json:"age-millis"`
	// Running and QueuedTokens are its reported load.
	Running      int   `json:"running"`
	QueuedTokens int64 `json:"queued-tokens"`
}
