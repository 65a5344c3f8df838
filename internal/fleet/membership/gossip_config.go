package membership

import (
	"math/rand/v2"
	"time"
)

// Defaults of GossipConfig.
const (
	DefaultPush  = 250 * time.Millisecond
	DefaultPull  = time.Second
	DefaultAwait = 3 * time.Second
)

// pushEach is the least time between two pushes for each peer; it bounds the messages of an entry to 40 a second whatever the size of its cell.
const pushEach = 25 * time.Millisecond

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
	// Push is the least time between two pushes to all peers; zero means DefaultPush. It is longer in cells of more than ten entries.
	Push time.Duration
	// Pull is the time between two pulls from one peer after the other; zero means DefaultPull.
	Pull time.Duration
	// Await is how long an answer is waited for; zero means DefaultAwait.
	Await time.Duration
	// Random chooses the order of the peers.
	Random *rand.Rand
}
