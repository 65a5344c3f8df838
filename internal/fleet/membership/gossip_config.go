package membership

import (
	"math/rand/v2"
	"time"
)

// Defaults of GossipConfig.
const (
	DefaultPull  = 250 * time.Millisecond
	DefaultAwait = 3 * time.Second
)

// forgetPeer is the silence after which an entry's work report is forgotten.
const forgetPeer = time.Minute

// GossipConfig holds what a Gossip needs.
type GossipConfig struct {
	// Self is this entry's identity.
	Self string
	// Start is the local time at which the process started.
	Start time.Time
	// Incarnation is a larger number with each start of this entry; its start time in seconds will do.
	Incarnation uint32
	// Table is where announcements are merged.
	Table Table
	// Pull is the time between two pulls; zero means DefaultPull.
	Pull time.Duration
	// Await is how long an answer is waited for; zero means DefaultAwait.
	Await time.Duration
	// Random chooses the order of the peers.
	Random *rand.Rand
}
