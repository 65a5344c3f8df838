package status

import (
	"hornbeamwood/internal/control/ledger"
)

// Report is the response to GET /status.
type Report struct {
	// Entry is the name of the entry that responds.
	Entry string `json:"entry"`
	// Revision is the settings revision that the entry has applied.
	Revision uint64 `json:"revision"`
	// Replicas are the control replicas.
	Replicas []Replica `json:"replicas"`
	// Entries are the entries that hold a settings lease.
	Entries []Entry `json:"entries"`
	// Servers are the backend servers.
	Servers []Server `json:"servers"`
	// Ledger holds the number of records of non-idempotent calls by state.
	Ledger ledger.Counts `json:"ledger"`
	// Quarantined is the number of quarantined requests.
	Quarantined int `json:"quarantined"`
	// Problems lists the queries that failed.
	Problems []string `json:"problems,omitempty"`
}

// Replica is one control replica.
type Replica struct {
	// Name and Address are as in the node file.
	Name    string `json:"name"`
	Address string `json:"address"`
	// Role is the replica's role, such as leader or follower, or unreachable.
	Role string `json:"role"`
	// Term and Applied are the replica's term and last applied log index.
	Term    uint64 `json:"term"`
	Applied uint64 `json:"applied"`
	// Identity identifies the replica together with its disk.
	Identity string `json:"identity"`
	// Voters is the number of voting members known to the replica.
	Voters int `json:"voters"`
	// Votes is set when the replica itself is a voting member.
	Votes bool `json:"votes"`
	// CaughtUp is set when the replica has applied all committed entries.
	CaughtUp bool `json:"caught-up"`
}

// Entry is one entry that holds a settings lease.
type Entry struct {
	// Name is the entry's name.
	Name string `json:"name"`
	// Revision is the settings revision that the entry has applied.
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
	// Holds lists models with their weight versions, or services.
	Holds []string `json:"holds"`
	// AgeMillis is the age of the server's last announcement.
	AgeMillis int64 `json:"age-millis"`
	// Running and QueuedTokens are the load that the server reported.
	Running      int   `json:"running"`
	QueuedTokens int64 `json:"queued-tokens"`
}
