package rpc

import "github.com/quic-go/quic-go"

const (
	// silenceInterval is the time between two checks; a connection in rest receives something in each.
	silenceInterval = 3 * keepAlive / 2
	// probeBytes makes the packet of a probe larger than the 42 bytes that quic-go answers with no stateless reset.
	probeBytes = 48
)

// silenceWatch sends a probe on each connection that received nothing between two checks.
//
// A restarted peer answers packets of its earlier connections with a stateless
// reset, but not those as small as a keep-alive. Without the probe an idle
// connection to it would look sound until the idle timeout.
type silenceWatch struct {
	// received is the number of packets of each connection at the previous check.
	received map[*quic.Conn]uint64
}

func newSilenceWatch() *silenceWatch {
	return &silenceWatch{received: map[*quic.Conn]uint64{}}
}

func (w *silenceWatch) check(connections []*quic.Conn) {
	received := make(map[*quic.Conn]uint64, len(connections))
	for _, c := range connections {
		n := c.ConnectionStats().PacketsReceived
		if before, ok := w.received[c]; ok && before == n {
			// Fails on a connection that has ended or whose peer accepts no datagrams.
			_ = c.SendDatagram(make([]byte, probeBytes))
		}
		received[c] = n
	}
	w.received = received
}
