package announcement

// State says whether a backend server takes new work.
type State string

const (
	// Ready means that the server takes new work.
	Ready State = "ready"
	// Leaving means that the server ends its running work and takes none anew; within an incarnation it is never undone.
	Leaving State = "leaving"
)
