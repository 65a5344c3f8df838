package replica

import (
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/control/disk"
)

// Defaults and limits of a Replica.
const (
	// MaxCommand is the largest command in bytes.
	MaxCommand = 6 << 20

	defaultTick            = 50 * time.Millisecond
	defaultSnapshotEntries = 8192
	defaultSnapshotBytes   = 8 << 20
	defaultChunkBytes      = 256 << 10
	defaultKeepEntries     = 1024
	// minFreeBytes of disk space must be free for commands to be accepted: enough
	// for a snapshot and for pending writes when the disk runs low.
	minFreeBytes = 64 << 20
	// freeSpaceCheckInterval is the number of ticks between two checks of the free space.
	freeSpaceCheckInterval = 20
	// queueLength bounds each queue of calls to the loop.
	queueLength = 4096
	// drainLimit bounds the inputs that the loop processes before it carries out the effects.
	drainLimit = 1024
)

// Config configures a Replica.
type Config struct {
	// Group is the log's number when a VM runs several.
	Group uint32
	// Name is the replica's name; it stays when the disk is replaced.
	Name string
	// Folder is the data folder.
	Folder string
	// Address is the IP address and port on which this replica receives messages.
	Address string
	// Seeds are the initial members of the group, including this replica if it is one of them.
	Seeds []Seed
	// JoinOnly prevents the replica from founding a group: it only joins an existing one.
	//
	// A replica whose disk is replaced by an empty one while the other replicas
	// are unreachable would otherwise found a second, empty group. Clients of
	// that group would lose everything that the first one accepted.
	JoinOnly bool
	// ReplaceDamaged makes a replica whose data folder is damaged set it aside and start
	// as one that lost its disk: blank, under a new identity and without a vote.
	//
	// Otherwise it refuses to start until an operator moves the folder away.
	ReplaceDamaged bool
	// Peers returns addresses besides the seeds at which a group may be found; nil for none.
	Peers func() []string
	// Transport sends messages to the other replicas.
	Transport Transport
	// Machine is the replicated state machine; it must be empty.
	Machine Machine
	// Logger receives the events; nil drops them.
	Logger log.Interface
	// Tick is the unit of time: heartbeats are sent every 2 ticks, and an election timeout is 10 to 20 ticks. Default 50 ms.
	Tick time.Duration
	// Seed seeds the random election timeouts; 0 uses a seed from crypto/rand.
	Seed uint64
	// SnapshotEntries and SnapshotBytes trigger a snapshot once as much was applied since the last one. Default 8192 and 8 MiB.
	SnapshotEntries int
	SnapshotBytes   int
	// KeepEntries is the number of entries to keep in memory before a snapshot, so
	// that a follower slightly behind doesn't need the whole state. Default 1024.
	KeepEntries int
	// ChunkBytes is the size of the chunks in which a snapshot is sent. Default 256 KiB.
	ChunkBytes int
	// Files replaces the folder at Folder if not nil.
	Files disk.Files
}

func (c Config) validate() error {
	switch {
	case c.Name == "":
		return errors.New("replica: the name is missing")
	case c.Address == "":
		return errors.New("replica: the address is missing")
	case c.Folder == "" && c.Files == nil:
		return errors.New("replica: the data folder is missing")
	case c.Transport == nil || c.Machine == nil:
		return errors.New("replica: the transport or the state machine is missing")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, s := range c.Seeds {
		if names[s.Name] || addresses[s.Address] {
			return fmt.Errorf("replica: duplicate seed %s at %s; each seed needs a unique name and address", s.Name, s.Address)
		}
		names[s.Name], addresses[s.Address] = true, true
		if s.Name == c.Name && s.Address != c.Address {
			return fmt.Errorf("replica: seed %s has the address %s, but this replica of that name has the address %s", s.Name, s.Address, c.Address)
		}
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.Tick == 0 {
		c.Tick = defaultTick
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = defaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = defaultSnapshotBytes
	}
	if c.KeepEntries == 0 {
		c.KeepEntries = defaultKeepEntries
	}
	if c.ChunkBytes == 0 {
		c.ChunkBytes = defaultChunkBytes
	}
	return c
}
