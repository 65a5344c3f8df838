package directory

import "time"

// Server is the directory's row of one backend server.
type Server struct {
	// Servers are encoded without field names: after all processes were lost,
	// each replica sends the rows of the whole site to every entry.
	_ struct{} `cbor:",toarray"`
	// ID identifies the server, which may have the same one after a restart.
	ID string
	// StartedAt is the start time of the incarnation in Unix milliseconds; a later start is another incarnation.
	StartedAt int64
	// Sequence is the number of the announcement within the incarnation.
	Sequence int64
	// Service is the service that the server belongs to.
	Service string
	// Address is its IP and port.
	Address string
	// Zone is its availability zone.
	Zone string
	// Software is the version of its software.
	Software string
	// Slots is how many requests it processes concurrently.
	Slots int
	// State is the readiness that the server announces.
	State State
	// Silent is set if announcements have stopped arriving.
	Silent bool
	// WarmUp is how long the server stays slow after the announcement.
	WarmUp time.Duration
	// Models are the weights that it has loaded.
	Models []Weights
	// HomeReplica is the control replica to which it announces itself.
	HomeReplica string
}

// Weights is a model with the version of its weights.
type Weights struct {
	_ struct{} `cbor:",toarray"`
	// Model is the name of the model.
	Model string
	// Version is the version of the weights.
	Version int64
}

// State is a server's announced readiness.
type State uint8

const (
	// Ready servers take requests.
	Ready State = iota
	// Leaving servers finish their requests and take no new ones.
	Leaving
	// Gone servers have announced that they stop.
	Gone
)

// String returns the state's name in logs.
func (s State) String() string {
	return [...]string{"ready", "leaving", "gone"}[min(s, Gone)]
}

// Version returns the version of the model's weights and whether the server has the model.
func (s Server) Version(model string) (int64, bool) {
	for _, w := range s.Models {
		if w.Model == model {
			return w.Version, true
		}
	}
	return 0, false
}

// Newer returns whether s replaces other, which has the same ID.
//
// A row of a later incarnation is newer than any row of an earlier one, whatever its sequence.
// Within an incarnation leaving is final: a delayed announcement
// must not make a leaving server available to entries again.
func (s Server) Newer(other Server) bool {
	switch {
	case s.StartedAt != other.StartedAt:
		return s.StartedAt > other.StartedAt
	case s.State != other.State:
		return s.State > other.State
	case s.Sequence != other.Sequence:
		return s.Sequence > other.Sequence
	}
	return s.Silent && !other.Silent
}

// SameRouting returns whether s and other are the same for routing.
func (s Server) SameRouting(other Server) bool {
	if len(s.Models) != len(other.Models) {
		return false
	}
	for i := range s.Models {
		if s.Models[i] != other.Models[i] {
			return false
		}
	}
	return s.ID == other.ID && s.StartedAt == other.StartedAt && s.Service == other.Service && s.Address == other.Address && s.Zone == other.Zone && s.Software == other.Software &&
		s.Slots == other.Slots && s.State == other.State && s.Silent == other.Silent && s.HomeReplica == other.HomeReplica && (s.WarmUp > 0) == (other.WarmUp > 0)
}
