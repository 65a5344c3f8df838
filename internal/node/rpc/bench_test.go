package rpc

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
)

// BenchmarkCall measures one call and its reply between two nodes on loopback:
// the time and the bytes on the wire, each for both sides together.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{32, 1024, 16384} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			server, client := benchNodes(b)
			Handle(server, echo, func(_ context.Context, _ Peer, q ping) (ping, error) { return q, nil })
			serve(b, server)
			q := ping{Text: string(make([]byte, size))}
			if _, err := Call(b.Context(), client, server.Address(), echo, q); err != nil {
				b.Fatal(err)
			}
			before := server.BytesSent() + client.BytesSent()
			b.ResetTimer()
			for b.Loop() {
				if _, err := Call(b.Context(), client, server.Address(), echo, q); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(server.BytesSent()+client.BytesSent()-before)/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkNotice measures one message without a reply.
func BenchmarkNotice(b *testing.B) {
	server, client := benchNodes(b)
	var taken atomic.Int64
	Receive(server, hello, func(Peer, ping) { taken.Add(1) })
	serve(b, server)
	if err := Notify(b.Context(), client, server.Address(), hello, ping{}); err != nil {
		b.Fatal(err)
	}
	before := server.BytesSent() + client.BytesSent()
	b.ResetTimer()
	for b.Loop() {
		if err := Notify(b.Context(), client, server.Address(), hello, ping{Text: "1234567890123456789012345678901234567890"}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(server.BytesSent()+client.BytesSent()-before)/float64(b.N), "wire-B/op")
}

func benchNodes(b *testing.B) (server, client Node) {
	folder := newAuthority(b)
	return newNode(b, folder, "entry-1"), newNode(b, folder, "entry-2")
}
