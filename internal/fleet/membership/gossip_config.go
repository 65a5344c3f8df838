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

// pushPerPeer is the minimum push interval for each peer in the cell. It limits an entry to 40 push messages per second regardless of the size of its cell.
const pushPerPeer = 25 * time.Millisecond

// GossipConfig holds what a Gossip needs.
type GossipConfig struct {
	// Self is this entry's identity.
	Self string
	// Start is the local time at which the process started.
	Start time.Time
	// Incarnation increases with each start of this entry; its start time in seconds is sufficient.
	Incarnation uint32
	// Table receives the announcements.
	Table Table
	// Push is the minimum interval between pushes to all peers; zero means DefaultPush. The interval is longer in cells of more than ten entries.
	Push time.Duration
	// Pull is the interval between pulls, each from the next peer; zero means DefaultPull.
	Pull time.Duration
	// Await is the timeout of a pull; zero means DefaultAwait.
	Await time.Duration
	// Random shuffles the order of the peers.
	Random *rand.Rand
}
