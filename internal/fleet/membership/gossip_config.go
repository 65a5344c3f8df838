package membership

import (
	"math/rand/v2"
	"time"
)

// Defaults of GossipConfig.
const (
	DefaultPushInterval = 250 * time.Millisecond
	DefaultPullInterval = time.Second
	DefaultPullTimeout  = 3 * time.Second
)

// pushPerPeer is the minimum push interval for each peer in the cell. It limits an entry to 40 push messages per second regardless of the size of its cell.
const pushPerPeer = 25 * time.Millisecond

// GossipConfig configures a Gossip.
type GossipConfig struct {
	// Self is this entry's identity.
	Self string
	// Start is the local time at which the process started.
	Start time.Time
	// Incarnation increases with each start of this entry; its start time in seconds is sufficient.
	Incarnation uint32
	// Table receives the announcements.
	Table Table
	// PushInterval is the minimum interval between pushes to all peers; zero means DefaultPushInterval. The interval is longer in cells of more than ten entries.
	PushInterval time.Duration
	// PullInterval is the interval between pulls, each from the next peer; zero means DefaultPullInterval.
	PullInterval time.Duration
	// PullTimeout is the timeout of a pull; zero means DefaultPullTimeout.
	PullTimeout time.Duration
	// Random shuffles the order of the peers.
	Random *rand.Rand
}
