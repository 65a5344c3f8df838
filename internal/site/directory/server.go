package directory

import "time"

// Server is what is known of one backend server.
type Server struct {
	// Servers travel without the names of their fields: after a loss of all processes
	// each replica owes those of the whole site to every entry.
	_ struct{} `cbor:",toarray"`
	// ID names the server; it may return under the same one after a restart.
	ID string
	// StartedAt is the start of the incarnation in Unix milliseconds; a later start is another server.
	StartedAt int64
	// Sequence counts the announcements of the incarnation.
	Sequence int64
	// Service is the service that it belongs to.
	Service string
	// Address is its IP and port.
	Address string
	// Zone is its availability zone.
	Zone string
	// Software is the version of its software.
	Software string
	// Slots is how many requests it processes at once.
	Slots int
	// State is ready, leaving or gone.
	State State
	// Silent says that announcements have stopped coming.
	Silent bool
	// WarmUp is how long it stays slow after the announcement.
	WarmUp time.Duration
	// Models are the weights that it has.
	Models []Weights
	// Home is the control replica that it announces itself to.
	Home string
}

// Weights is a model with the version of its weights.
type Weights struct {
	_ struct{} `cbor:",toarray"`
	// Model names the model.
	Model string
	// Version is the number of the weights.
	Version int64
}

// State is what a server says of its readiness.
type State uint8

const (
	// Ready servers take requests.
	Ready State = iota
	// Leaving servers finish what they have and take no new requests.
	Leaving
	// Gone servers have said that they end.
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

// Newer returns whether s replaces o, which has the same ID.
//
// A start is newer than all of an earlier one, whatever its numbers. Within an
// incarnation leaving is final: an announcement that was held up on the way
// must not bring back a server that others are told to leave alone.
func (s Server) Newer(o Server) bool {
	switch {
	case s.StartedAt != o.StartedAt:
		return s.StartedAt > o.StartedAt
	case s.State != o.State:
		return s.State > o.State
	case s.Sequence != o.Sequence:
		return s.Sequence > o.Sequence
	}
	return s.Silent && !o.Silent
}

// SameRouting returns whether o tells routing nothing that s does not.
func (s Server) SameRouting(o Server) bool {
	if len(s.Models) != len(o.Models) {
		return false
	}
	for i := range s.Models {
		if s.Models[i] != o.Models[i] {
			return false
		}
	}
	return s.ID == o.ID && s.StartedAt == o.StartedAt && s.Service == o.Service && s.Address == o.Address && s.Zone == o.Zone &&
		s.Slots == o.Slots && s.State == o.State && s.Silent == o.Silent && s.Home == o.Home && (s.WarmUp > 0) == (o.WarmUp > 0)
}
