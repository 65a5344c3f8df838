package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkDecide measures one decision for a prompt of ten pieces. 13 servers are a small
// deployment, 59 a full cell, and 940 a fleet that is not divided into cells.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{13, 59, 940} {
		b.Run(fmt.Sprintf("candidates-%d", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(6, 6))
			c := randomCell(r, n)
			q := randomRequest(r, c, 10)
			s := New(Config{})
			b.ReportAllocs()
			for b.Loop() {
				s.Decide(start, q, c, r)
			}
		})
	}
}
