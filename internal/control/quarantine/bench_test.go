package quarantine

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
)

// BenchmarkLossBesideManySuspects measures the report of a server's loss under a dozen requests while the
// section holds thousands of suspects.
func BenchmarkLossBesideManySuspects(b *testing.B) {
	const suspects, running = 3000, 12
	s := New(Config{})
	command := func(server string, first, count int) []byte {
		var prompts []string
		for n := range count {
			prompts = append(prompts, fmt.Sprint(first+n))
		}
		body, err := codec.Marshal(lostWith(server, 1, prompts...))
		if err != nil {
			b.Fatal(err)
		}
		return body
	}
	for n := 0; n < suspects; n += running {
		s.Apply(start, command(fmt.Sprint("s", n), n, running))
	}
	var next int
	for b.Loop() {
		next++
		s.Apply(start.Add(time.Duration(next)*time.Millisecond), command("s", suspects+next%64*running, running))
	}
}
