package entry

import (
	"fmt"
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// registerMetrics registers the entry's metrics; docs/OPERATORS.md lists them.
func (p *process) registerMetrics(x *components) {
	gauge := func(name string, value func() float64) {
		p.metrics.NewGauge("hornbeamwood_"+name, value)
	}
	gauge("quic_sent_bytes", func() float64 { return float64(p.node.BytesSent()) })
	gauge("settings_revision", func() float64 { return float64(x.settings.View().Revision()) })
	gauge("settings_lease", func() float64 { return oneIf(x.settings.Check() == nil) })
	gauge("quarantined_requests", func() float64 { return float64(x.guard.Quarantined()) })
	gauge("cut_off_servers", func() float64 { return float64(x.paths.Len()) })
	gauge("open_calls", func() float64 { return float64(x.services.OpenCalls()) })
	gauge("keys_expire_seconds", func() float64 { return time.Until(p.ring.Expires()).Seconds() })
	gauge("cache_pieces", func() float64 {
		n, _ := x.directory.Size()
		return float64(n)
	})
	gauge("cache_locations", func() float64 {
		_, n := x.directory.Size()
		return float64(n)
	})
	gauge("requests_in_flight", func() float64 { return float64(p.components.caller.InFlight()) })
	for _, k := range []announcement.Kind{announcement.Engine, announcement.Service, announcement.Store} {
		for _, s := range []announcement.State{announcement.Ready, announcement.Leaving} {
			gauge(fmt.Sprintf("backend_servers{kind=%q,state=%q}", k, s), func() float64 { return x.servers(k, s) })
		}
	}
}

// servers counts the backend servers of a kind in a state.
func (x *components) servers(k announcement.Kind, s announcement.State) float64 {
	n := 0.0
	v := x.table.View()
	for server := range v.All() {
		a := server.Announcement()
		n += oneIf(a.Kind == k && a.State == s)
	}
	return n
}

// oneIf returns 1 if b holds and 0 otherwise.
func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
