package rpc

import (
	"context"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

func TestAnswersAreCounted(t *testing.T) {
	const size = 5000
	folder := newAuthority(t)
	server, client := newNode(t, folder, "entry-1"), newNode(t, folder, "entry-2")
	counters := metrics.NewSet()
	client.(*node).config.Metrics = counters
	Handle(server, echo, func(_ context.Context, _ Peer, q ping) (ping, error) { return q, nil })
	serve(t, server)
	if _, err := Call(t.Context(), client, server.Address(), echo, ping{Text: string(make([]byte, size))}); err != nil {
		t.Fatal(err)
	}
	got := counters.GetOrCreateCounter(`hornbeamwood_rpc_answer_bytes_total{method="echo",outcome="whole"}`).Get()
	if got < size || got > 2*size {
		t.Errorf("%d bytes were counted of an answer with %d", got, size)
	}
}
