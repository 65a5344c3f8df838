package node

import "net/netip"

// Peer is another process of the system, reached over QUIC.
type Peer struct {
	// Name is the process's identity, unique among all processes.
	Name string `toml:"name"`
	// Address is the address at which it accepts QUIC connections.
	Address netip.AddrPort `toml:"address"`
	// Zone is its availability zone.
	Zone string `toml:"zone"`
}
