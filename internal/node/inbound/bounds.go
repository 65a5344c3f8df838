package inbound

import (
	"fmt"
	"time"
)

// Defaults of Bounds.
const (
	defaultPlatformConnections = 64
	defaultHeaderBytes         = 64 << 10
	defaultIdleTimeout         = 2 * time.Minute
	defaultBodyTimeout         = 30 * time.Second
	defaultReceiveBytes        = 32 << 10
	defaultStallTime           = 500 * time.Millisecond
)

// Largest values of Bounds, which keep sums and products of them in range.
const (
	maxBytes       = 1 << 40
	maxConnections = 1 << 20
	maxSocketBytes = 1 << 30
	maxTime        = 24 * time.Hour
)

const (
	// connectionBytes is what a connection takes by itself: stacks, buffers, a usual head and a short body.
	connectionBytes = 32 << 10
	// connectionsShare is the share of a process's memory that connections may take by themselves. What clients have
	// sent and isn't read yet may take as much again, see Bounds.ReceiveBytes.
	connectionsShare = 0.25
	// accountShare is the share of a process's memory that clients may make it hold beyond that.
	accountShare = 0.25
)

// Bounds are an operator's bounds of what clients may make a process hold, and for how long. Zero stands for the default.
type Bounds struct {
	// Bytes is the memory for long heads, bodies and answers of all clients together.
	Bytes int64
	// Connections is how many connections the listener for requests may have.
	Connections int
	// PlatformConnections is how many connections a listener for health checks and metrics may have; default 64.
	PlatformConnections int
	// HeaderBytes bounds a request's head where no document does; default 64 KiB.
	HeaderBytes int
	// IdleTimeout bounds the time without a request where no document does; default 2 min.
	IdleTimeout time.Duration
	// BodyTimeout bounds the time in which a body arrives whose request has no deadline; default 30 s.
	BodyTimeout time.Duration
	// ReceiveBytes bounds what the kernel keeps of the bytes that a client has sent and that aren't read; default 32 KiB.
	ReceiveBytes int
	// StallTime is how long a client may make no progress before it is evicted, if memory or connections are short; default
	// 0.5 s.
	StallTime time.Duration
}

// WithDefaults returns b with the defaults that depend on no machine.
func (b Bounds) WithDefaults() Bounds {
	setDefault(&b.PlatformConnections, defaultPlatformConnections)
	setDefault(&b.HeaderBytes, defaultHeaderBytes)
	setDefault(&b.IdleTimeout, defaultIdleTimeout)
	setDefault(&b.BodyTimeout, defaultBodyTimeout)
	setDefault(&b.ReceiveBytes, defaultReceiveBytes)
	setDefault(&b.StallTime, defaultStallTime)
	return b
}

// WithMachine returns b with the defaults for a process with so many bytes of memory and file descriptors, whose listener
// for requests gets a share of the descriptors. Without a known size of the machine they stay zero, for no bound.
func (b Bounds) WithMachine(memory int64, descriptors int, share float64) Bounds {
	setDefault(&b.Bytes, int64(accountShare*float64(memory)))
	most := int(share * float64(descriptors))
	if n := int(connectionsShare * float64(memory) / connectionBytes); n > 0 && (most == 0 || n < most) {
		most = n
	}
	setDefault(&b.Connections, most)
	return b
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Check returns an error that names the bound, by its name in settings, that is out of range.
func (b Bounds) Check(name func(field string) string) error {
	for _, x := range []struct {
		field       string
		value, most int64
	}{
		{"memory", b.Bytes, maxBytes},
		{"connections", int64(b.Connections), maxConnections},
		{"platform-connections", int64(b.PlatformConnections), maxConnections},
		{"header-bytes", int64(b.HeaderBytes), maxSocketBytes},
		{"idle-timeout", int64(b.IdleTimeout), int64(maxTime)},
		{"body-timeout", int64(b.BodyTimeout), int64(maxTime)},
		{"receive-bytes", int64(b.ReceiveBytes), maxSocketBytes},
		{"stall-time", int64(b.StallTime), int64(maxTime)},
	} {
		if x.value < 0 || x.value > x.most {
			return fmt.Errorf("%s is out of range", name(x.field))
		}
	}
	return nil
}

// platformHeaderTimeout bounds the time for a head at a listener for health checks and metrics.
const platformHeaderTimeout = 5 * time.Second

// PlatformLimits returns the limits of a listener for health checks and metrics.
func (b Bounds) PlatformLimits() Limits {
	return Limits{HeaderBytes: b.HeaderBytes, HeaderTimeout: platformHeaderTimeout, IdleTimeout: b.IdleTimeout}
}
