package placement

// Change is something that was lost or came back.
type Change uint8

const (
	// StoreLost means that a store no longer answers.
	StoreLost Change = iota
	// StoreBack means that a store answers again under a new incarnation.
	StoreBack
	// ServerLost means that a backend server no longer answers.
	ServerLost
	// ServerBack means that a backend server answers again under a new incarnation.
	ServerBack
	// EntryLost means that a peer of this entry has been silent.
	EntryLost
)

// Reaction says what an entry forgets after a Change; what it does not name stays.
type Reaction struct {
	// ForgetCopies drops all locations in that store.
	ForgetCopies bool
	// ForgetMemory drops all locations in that server's memory.
	ForgetMemory bool
	// DropWork drops the peer's work in flight.
	DropWork bool
	// Reason says why.
	Reason string
}

var reactions = [...]Reaction{
	StoreLost:  {ForgetCopies: true, Reason: "an import from a lost store waits for its timeout"},
	StoreBack:  {ForgetCopies: true, Reason: "a store comes back without its memory, and what its disk holds it announces anew"},
	ServerLost: {ForgetMemory: true, Reason: "the memory of a lost server is gone"},
	ServerBack: {ForgetMemory: true, Reason: "a server comes back cold; what it holds it announces anew"},
	EntryLost:  {DropWork: true, Reason: "work that nobody ends would count as load for ever"},
}

// React returns what an entry does after c.
func React(c Change) Reaction {
	return reactions[c]
}
