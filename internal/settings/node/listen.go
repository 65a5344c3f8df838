package node

import "net/netip"

// Listen holds the addresses on which a process takes connections.
type Listen struct {
	// HTTP takes callers, operators and backend servers; entries only.
	HTTP netip.AddrPort `toml:"http"`
	// QUIC takes the system's own processes.
	QUIC netip.AddrPort `toml:"quic"`
	// Metrics takes the platform's requests for metrics and health; without it they are served under HTTP.
	Metrics netip.AddrPort `toml:"metrics"`
}
