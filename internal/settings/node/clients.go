package node

import (
	"time"

	"hornbeamwood/internal/node/inbound"
	"hornbeamwood/internal/settings/tomlfile"
)

const (
	defaultClientMemoryMB    = 64
	defaultClientConnections = 768
)

// Clients bounds what the clients of a process may make it hold, and for how long. Zero stands for the default.
type Clients struct {
	// MemoryMB is the memory for long heads, bodies and answers of all clients together in MiB; default 64.
	MemoryMB int64 `toml:"memory-mb"`
	// Connections is how many connections Listen.HTTP may have; default 768.
	Connections int `toml:"connections"`
	// PlatformConnections is how many connections Listen.Metrics may have; default 64.
	PlatformConnections int `toml:"platform-connections"`
	// HeaderBytes bounds the head of a request; default 64 KiB.
	HeaderBytes int `toml:"header-bytes"`
	// IdleTimeout bounds the time without a request; default 2 min.
	IdleTimeout tomlfile.Duration `toml:"idle-timeout"`
	// BodyTimeout bounds the time in which a body arrives; default 30 s.
	BodyTimeout tomlfile.Duration `toml:"body-timeout"`
	// ReceiveBytes bounds what the kernel keeps of the bytes that a client has sent and that aren't read; default 32 KiB.
	ReceiveBytes int `toml:"receive-bytes"`
	// StallTime is how long a client may make no progress before it is ended, if memory or connections are short; default 0.5 s.
	StallTime tomlfile.Duration `toml:"stall-time"`
}

// Bounds returns the bounds with their defaults.
func (c Clients) Bounds() inbound.Bounds {
	b := c.bounds().WithDefaults()
	if b.Bytes == 0 {
		b.Bytes = defaultClientMemoryMB << 20
	}
	if b.Connections == 0 {
		b.Connections = defaultClientConnections
	}
	return b
}

func (c Clients) bounds() inbound.Bounds {
	return inbound.Bounds{
		Bytes: c.MemoryMB << 20, Connections: c.Connections, PlatformConnections: c.PlatformConnections, HeaderBytes: c.HeaderBytes,
		IdleTimeout: time.Duration(c.IdleTimeout), BodyTimeout: time.Duration(c.BodyTimeout), ReceiveBytes: c.ReceiveBytes, StallTime: time.Duration(c.StallTime),
	}
}
