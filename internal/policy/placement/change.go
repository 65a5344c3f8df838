package placement

// Change is the loss or return of a process.
type Change uint8

const (
	// StoreLost means that a store no longer responds.
	StoreLost Change = iota
	// StoreBack means that a store responds again with a new incarnation.
	StoreBack
	// ServerLost means that a backend server no longer responds.
	ServerLost
	// ServerBack means that a backend server responds again with a new incarnation.
	ServerBack
	// EntryLost means that no message has arrived from a peer of this entry.
	EntryLost
)

// Reaction lists the state that an entry discards after a Change; all other state is kept.
type Reaction struct {
	// ForgetCopies discards all locations in that store.
	ForgetCopies bool
	// ForgetMemory discards all locations in that server's memory.
	ForgetMemory bool
	// DropWork discards the work in flight of that peer.
	DropWork bool
	// Reason is the reason for the reaction.
	Reason string
}

var reactions = [...]Reaction{
	StoreLost:  {ForgetCopies: true, Reason: "an import from a lost store waits until it times out"},
	StoreBack:  {ForgetCopies: true, Reason: "a restarted store has lost its memory and announces the content of its disk again"},
	ServerLost: {ForgetMemory: true, Reason: "the cache in the memory of a lost server is lost"},
	ServerBack: {ForgetMemory: true, Reason: "a restarted server has an empty cache and announces its content again"},
	EntryLost:  {DropWork: true, Reason: "work in flight of a lost entry would otherwise count as load forever"},
}

// React returns the reaction of an entry to c.
func React(c Change) Reaction {
	return reactions[c]
}
