package replica

import (
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/control/disk"
)

// Defaults and limits.
const (
	// MaxCommand is the largest command in bytes.
	MaxCommand = 6 << 20

	defaultTick            = 50 * time.Millisecond
	defaultSnapshotEntries = 8192
	defaultSnapshotBytes   = 8 << 20
	defaultChunkBytes      = 256 << 10
	defaultKeepEntries     = 1024
	// reserveBytes must be free on the disk for commands to be accepted: room
	// for a snapshot and for what is on its way when the disk runs low.
	reserveBytes = 64 << 20
	// reserveTicks is the time between two looks at the free space.
	reserveTicks = 20
	// queueLength bounds each kind of call that waits for the loop.
	queueLength = 4096
	// drainLimit bounds what the loop takes before it settles.
	drainLimit = 1024
)

// Config is what a Replica is made from.
type Config struct {
	// Group is the log's number when a VM carries several.
	Group uint32
	// Name is the replica's name; it stays when the disk is replaced.
	Name string
	// Folder is the data folder.
	Folder string
	// Address is the IP and port that the others send to.
	Address string
	// Seeds are the first members of the group, this replica among them if it is one.
	Seeds []Seed
	// Join keeps the replica from founding a group: it only takes part in one that exists.
	//
	// A disk that comes back blank at a time when the other replicas can't be
	// reached would otherwise found a second, empty group, and what the first
	// one accepted would be gone for whoever asks there.
	Join bool
	// Peers returns addresses beyond the seeds at which a group may be found; nil for none.
	Peers func() []string
	// Transport carries messages to the others.
	Transport Transport
	// Machine is the replicated state; it must be empty.
	Machine Machine
	// Logger gets the events; nil drops them.
	Logger log.Interface
	// Tick is the unit of time: 2 ticks between heartbeats, 10 to 20 to an election. Default 50 ms.
	Tick time.Duration
	// Seed draws the election timeouts; 0 takes one from crypto/rand.
	Seed uint64
	// SnapshotEntries and SnapshotBytes are how much is applied between snapshots. Default 8192 and 8 MiB.
	SnapshotEntries int
	SnapshotBytes   int
	// KeepEntries stay in the log behind a snapshot, so that a follower a
	// little behind doesn't need the whole state. Default 1024.
	KeepEntries int
	// ChunkBytes is the size of the pieces that a snapshot is sent in. Default 256 KiB.
	ChunkBytes int
	// Files replaces the folder at Folder when not nil.
	Files disk.Files
}

func (c Config) validate() error {
	switch {
	case c.Name == "":
		return errors.New("replica: no name is given")
	case c.Address == "":
		return errors.New("replica: no address is given")
	case c.Folder == "" && c.Files == nil:
		return errors.New("replica: no data folder is given")
	case c.Transport == nil || c.Machine == nil:
		return errors.New("replica: transport and machine must be given")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, s := range c.Seeds {
		if names[s.Name] || addresses[s.Address] {
			return fmt.Errorf("replica: seed %s at %s stands twice; each has its own name and address", s.Name, s.Address)
		}
		names[s.Name], addresses[s.Address] = true, true
		if s.Name == c.Name && s.Address != c.Address {
			return fmt.Errorf("replica: the seeds have %s at %s, but its own address is %s", s.Name, s.Address, c.Address)
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
