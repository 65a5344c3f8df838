package node

import "net/netip"

// Listen contains the addresses on which a process accepts connections.
type Listen struct {
	// HTTP is the address for callers, operators and backend servers; entries only.
	HTTP netip.AddrPort `toml:"http"`
	// QUIC is the address for the system's own processes.
	QUIC netip.AddrPort `toml:"quic"`
	// Metrics is the address for the platform's requests for metrics and health; if it is not set, they are served at HTTP.
	Metrics netip.AddrPort `toml:"metrics"`
}
