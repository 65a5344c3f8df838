package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/state"
)

func fill(b *testing.B, s state.Section, n int) {
	body := make([]byte, 200)
	for i := range n {
		key := fmt.Sprintf("0123456789abcdef-%08d", i)
		scope := Scope{Workspace: fmt.Sprintf("workspace-%d", i%1400), Service: "issue-stamps", Key: key}
		digest := DigestOf("POST", "/", []byte(key))
		claim := Claim{Scope: scope, Digest: digest, Entry: fmt.Sprintf("e%d", i%7), Incarnation: 1, Attempt: key + "0123456789ab", Keep: time.Hour}
		s.Apply(start, mustMarshal(b, Command{Claim: &claim}))
		answer := Answer{Status: 200, Body: body, Headers: []Header{{Name: "Content-Type", Value: "application/json"}}}
		s.Apply(start, mustMarshal(b, Command{Outcome: &Outcome{Scope: scope, Attempt: claim.Attempt, Digest: digest, Answer: answer}}))
	}
}

// BenchmarkBytesPerRecord reports the heap bytes per settled record with a body of 200 bytes.
func BenchmarkBytesPerRecord(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := New()
				fill(b, s, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/record")
				runtime.KeepAlive(s)
			}
		})
	}
}

// BenchmarkApply measures a claim and its outcome in a ledger that holds the given number of records.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New()
			fill(b, s, n)
			commands := make([][]byte, 0, 2*b.N)
			for i := range b.N {
				c := claimOf(fmt.Sprint("bench-", i), fmt.Sprint("attempt-", i), 1)
				commands = append(commands, mustMarshal(b, Command{Claim: c}),
					mustMarshal(b, Command{Outcome: &Outcome{Scope: c.Scope, Attempt: c.Attempt, Digest: c.Digest, Answer: Answer{Status: 200}}}))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for _, c := range commands {
				s.Apply(start, c)
			}
		})
	}
}

// BenchmarkSnapshot measures a snapshot and reports its bytes per record.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New()
			fill(b, s, n)
			b.ResetTimer()
			for range b.N {
				image, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(image))/float64(n), "bytes/record")
			}
		})
	}
}

func FuzzApply(f *testing.F) {
	for _, c := range []Command{{}, {Claim: claimOf("k", "a", 1)}, {Abandon: &Abandon{Entry: "e", Incarnation: 9}}} {
		b, err := codec.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, command []byte) {
		s := New()
		s.Apply(start, command)
		restored(t, s)
	})
}
