package inbound

import (
	"net"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
)

// refusedLogInterval is the interval of log lines on refused connections.
const refusedLogInterval = time.Second

// TooManyConnections is the reason of a refusal of connections beyond the number that a listener may have.
const TooManyConnections = "too-many-connections"

// listener returns connections that are counted and bounded.
type listener struct {
	net.Listener
	server *server
}

// Accept implements net.Listener.
//
// A connection that can't be served is closed before a byte of it is read. Its client can tell that its request has not
// run, and goes elsewhere; all that are read here would be late.
func (l listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if reason := l.server.refuses(time.Now()); reason != "" {
			// Its client opens another one, so the error doesn't matter.
			_ = n.Close()
			l.server.countRefused(reason)
			continue
		}
		c := &conn{Conn: n, server: l.server, acceptedAt: time.Now()}
		c.enter(phaseIdle)
		l.server.conns.add(c)
		l.server.account.add(c)
		return c, nil
	}
}

// refuses returns why a new connection isn't accepted, empty if it is. When all connections are in use, the one that has been
// idle longest is closed for it, then the one whose client has made no progress for longest, then the oldest one without a
// request. So clients that connect again and again can't keep out one that sends its request at once.
func (s *server) refuses(now time.Time) string {
	if s.config.Refuses != nil {
		if reason := s.config.Refuses(); reason != "" {
			return reason
		}
	}
	if s.config.Connections == 0 || s.conns.count() < s.config.Connections || s.conns.closeOldest(now) {
		return ""
	}
	if s.conns.closeStalled(now, s.account.bounds().StallTime) || s.conns.closeUnserved(now) {
		s.account.ended(endedForConnections)
		return ""
	}
	return TooManyConnections
}

// countRefused counts a refused connection, and logs how many were at times.
func (s *server) countRefused(reason string) {
	if s.config.Metrics != nil {
		s.config.Metrics.GetOrCreateCounter(`hornbeamwood_connections_refused_total{listener="` + s.config.Name + `",reason="` + reason + `"}`).Inc()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[reason]++
	now := time.Now()
	if now.Sub(s.loggedAt) < refusedLogInterval {
		return
	}
	fields := log.Fields{"listener": s.config.Name, "most": s.config.Connections}
	for reason, n := range s.refused {
		fields[reason] = n
	}
	event.ConnectionsRefused.Write(s.config.Logger, fields)
	s.loggedAt = now
	clear(s.refused)
}
