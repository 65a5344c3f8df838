package siteentry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/policy/overload"
	"hornbeamwood/internal/site/host"
)

const (
	// callerDescriptors is the share of a process's file descriptors that callers' connections may use. The others are
	// for connections to servers.
	callerDescriptors = 0.5
	// callerMemory is the share of a process's memory that callers' connections may use while they are idle, and
	// connectionBytes what each one takes.
	callerMemory    = 0.25
	connectionBytes = 32 << 10
	// gateLogInterval is the interval of log lines on refused connections.
	gateLogInterval = time.Second
)

// Reasons why a connection is refused.
const (
	gateOverloaded = "overloaded"
	gateFull       = "too-many-connections"
)

// gate decides which connections of callers are accepted. A load balancer may hand nearly all new ones to one entry.
type gate struct {
	detector overload.Detector
	// most is how many connections may be open, zero for any number.
	most    int
	logger  log.Interface
	metrics *metrics.Set

	mu       sync.Mutex
	refused  map[string]int
	loggedAt time.Time
}

func newGate(h host.Host, logger log.Interface, m *metrics.Set) *gate {
	return &gate{detector: overload.New(), most: mostConnections(h), logger: logger, metrics: m, refused: map[string]int{}}
}

// mostConnections returns how many connections of callers an entry may have.
func mostConnections(h host.Host) int {
	most := int(callerDescriptors * float64(h.Descriptors))
	if memory := int(callerMemory * float64(h.MemoryBytes) / connectionBytes); memory > 0 && (most == 0 || memory < most) {
		most = memory
	}
	return most
}

// refuses returns why a new connection isn't accepted, empty if it is.
func (g *gate) refuses(open *conns) string {
	switch {
	case g.detector.Overloaded():
		return gateOverloaded
	case g.most > 0 && open.count() >= g.most && !open.closeOldest(time.Now()):
		return gateFull
	}
	return ""
}

// refuse closes a connection unread, and logs how many were at times.
func (g *gate) refuse(c net.Conn, reason string) {
	// Its caller opens another one, so the error doesn't matter.
	_ = c.Close()
	g.metrics.GetOrCreateCounter(`hornbeamwood_site_connections_refused_total{reason="` + reason + `"}`).Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused[reason]++
	if now := time.Now(); now.Sub(g.loggedAt) >= gateLogInterval {
		event.ConnectionsRefused.Write(g.logger, log.Fields{"overloaded": g.refused[gateOverloaded], "too-many": g.refused[gateFull], "most": g.most})
		g.loggedAt = now
		clear(g.refused)
	}
}

// run observes the lateness of wake-ups until ctx ends.
func (g *gate) run(ctx context.Context) {
	t := time.NewTimer(overload.Interval)
	defer t.Stop()
	due := time.Now().Add(overload.Interval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		g.detector.Observe(now.Sub(due), now)
		due = now.Add(overload.Interval)
		t.Reset(overload.Interval)
	}
}
