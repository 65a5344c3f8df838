package siteentry

import (
	"time"

	"hornbeamwood/internal/node/inbound"
)

const (
	// defaultHeaderBytes is the limit of a caller's head while no document sets one.
	defaultHeaderBytes = 1 << 20
	// defaultHeaderTimeout is the timeout for a caller's headers while no document sets one.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is the timeout for a caller's idle connection while no document sets one.
	defaultIdleTimeout = 40 * time.Second
	// callerDescriptors is the share of a process's file descriptors that callers' connections may use. The others are
	// for connections to servers.
	callerDescriptors = 0.5
)

// callerLimits returns the limits of callers' connections by the document in force.
func (p *process) callerLimits() inbound.Limits {
	l := p.site.limits()
	limits := inbound.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}
