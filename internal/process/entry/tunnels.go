package entry

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/node/dial"
	"hornbeamwood/internal/node/tcp"
	"hornbeamwood/internal/node/tunnel"
	"hornbeamwood/internal/policy/reach"
)

// tunnelCheckInterval is the interval of the check whether the last tunnel has ended.
const tunnelCheckInterval = 50 * time.Millisecond

// buildDialer builds the connections to backend servers, directly or through another entry.
func (p *process) buildDialer(x *components) {
	direct := p.config.Dial
	if direct == nil {
		direct = tcp.Dial
	}
	x.paths = reach.New()
	x.tunnels = tunnel.New(tunnel.Config{
		Node: p.node, Zone: p.config.File.Zone,
		Peers:         func(context.Context) ([]tunnel.Peer, error) { return p.otherEntries(), nil },
		Server:        x.serverAddress,
		Connect:       direct,
		CutOff:        x.cutOff,
		InBackoff:     func(server string) bool { return x.backoffs.Active(server, time.Now()) },
		RecordBackoff: func(server string, d time.Duration) { p.recordBackoff(x, server, d) },
		Stopping:      p.stopping.Load,
		Metrics:       p.metrics,
		Logger:        p.config.Logger,
	})
	x.dialer = dial.New(dial.Config{Direct: direct, Tunnel: x.tunnels, Paths: x.paths, Logger: p.config.Logger})
}

// otherEntries returns the entries that can be asked for tunnels.
func (p *process) otherEntries() []tunnel.Peer {
	var all []tunnel.Peer
	for _, e := range p.config.File.Entries {
		if e.Name != p.config.File.Name {
			all = append(all, tunnel.Peer{Address: e.Address.String(), Zone: e.Zone})
		}
	}
	return all
}

func (p *process) recordBackoff(x *components, server string, d time.Duration) {
	if x.backoffs.Request(server, d, time.Now()) {
		event.ServerBackoff.Write(p.config.Logger, log.Fields{"server": server, "backoff-ms": d.Milliseconds()})
	}
}

// dial connects to the backend server at address for an HTTP client that keeps connections.
func (x *components) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := x.dialer.Dial(ctx, x.serverAt(address), address)
	if err != nil {
		return nil, err
	}
	return dial.Watch(c, address, x.paths), nil
}

// awaitTunnels returns when no tunnel of another entry is open, or ctx ends.
func (p *process) awaitTunnels(ctx context.Context) {
	for p.components.tunnels.Served() > 0 && wait.For(ctx, tunnelCheckInterval) {
	}
}

// serverAt returns the identity of the backend server at address, empty if there is none.
func (x *components) serverAt(address string) string {
	var newest *membership.Server
	now := time.Now()
	view := x.table.View()
	for s := range view.All() {
		if s.Announcement().Address == address && (newest == nil || s.Age(now) < newest.Age(now)) {
			newest = s
		}
	}
	if newest == nil {
		return ""
	}
	return newest.Announcement().Identity
}

// serverAddress returns the address of a backend server. A leaving one still gets the resumes of its streams.
func (x *components) serverAddress(identity string) (string, bool) {
	s, ok := x.table.View().Server(identity)
	if !ok || s.Age(time.Now()) >= membership.MaxAge {
		return "", false
	}
	return s.Announcement().Address, true
}

func (x *components) cutOff(identity string) bool {
	address, ok := x.serverAddress(identity)
	return ok && x.paths.CutOff(address)
}
