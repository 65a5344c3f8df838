package directory

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/events"
)

func benchKey(i int) block.Key {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(i))
	return sha256.Sum256(b[:])
}

// fill adds n pieces to the directory, each held by one engine and sealed in one store.
func fill(d Directory, now time.Time, n int) {
	const batch = 1000
	for from := 0; from < n; from += batch {
		u := Update{Engine: "engine-1", Incarnation: 1, First: uint64(from + 1), Count: batch}
		for i := range batch {
			u.Changes = append(u.Changes, Change{Offset: uint64(i), Key: benchKey(from + i)})
		}
		d.Update(now, u)
	}
	for i := range n {
		d.Store(now, StoreChange{Store: "store-1", Incarnation: 1, Key: benchKey(i), To: Sealed, Generation: uint64(i + 1), Bytes: 1 << 20})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the memory for each piece that is held by one engine and one store.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("pieces=%d", n), func(b *testing.B) {
			var bytes uint64
			for b.Loop() {
				before := heap()
				d := New(Config{Locations: 4 << 20})
				fill(d, time.Unix(0, 0), n)
				bytes = heap() - before
				if p, _ := d.Size(); p != n {
					b.Fatalf("%d pieces", p)
				}
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/piece")
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("pieces=%d", n), func(b *testing.B) {
			d := New(Config{Locations: 4 << 20})
			fill(d, time.Unix(0, 0), n)
			keys := make([]block.Key, 8)
			for i := range keys {
				keys[i] = benchKey(i * (n / 8))
			}
			b.ReportAllocs()
			for b.Loop() {
				d.Lookup(keys)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/8, "ns/piece")
		})
	}
}

// BenchmarkUpdate reports the time to apply one engine event.
func BenchmarkUpdate(b *testing.B) {
	const batch = 64
	d, now := New(Config{Locations: 4 << 20}), time.Unix(0, 0)
	fill(d, now, 100_000)
	first := uint64(100_001)
	keys := make([]block.Key, batch)
	for i := range keys {
		keys[i] = benchKey(1_000_000 + i)
	}
	evicted := false
	b.ReportAllocs()
	for b.Loop() {
		u := Update{Engine: "engine-1", Incarnation: 1, First: first, Count: batch}
		for i, k := range keys {
			u.Changes = append(u.Changes, Change{Offset: uint64(i), Evicted: evicted, Key: k})
		}
		d.Update(now, u)
		first += batch
		evicted = !evicted
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/event")
}

func BenchmarkSweep(b *testing.B) {
	d := New(Config{Locations: 4 << 20})
	fill(d, time.Unix(0, 0), 1_000_000)
	for b.Loop() {
		d.Sweep(time.Unix(1, 0))
	}
}

// BenchmarkMessages reports the bytes between nodes for an event, a lookup and its reply in a cell of 20 nodes.
func BenchmarkMessages(b *testing.B) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("entry-%02d", i))
	}
	r := NewRing(names)
	report := events.Report{Identity: "engine-001.bogota-norte", Incarnation: 1 << 60, First: 1 << 20}
	keys := make([]block.Key, 8)
	for i := range keys {
		keys[i] = benchKey(i)
	}
	for i := range 16 {
		report.Events = append(report.Events, events.Event{Kind: events.Inserted, Key: benchKey(i)})
	}
	d := New(Config{})
	fill(d, time.Unix(0, 0), 1000)
	update, lookup, reply, parts := 0, 0, 0, 0
	for b.Loop() {
		update, lookup, reply, parts = 0, 0, 0, 0
		for _, e := range r.Distribute(report) {
			update += size(b, e.Message)
		}
		for _, p := range r.Query(keys, func(string) bool { return false }).Parts() {
			parts++
			lookup += size(b, Message{Lookup: &p.Lookup})
			reply += size(b, Reply{Locations: d.Lookup(p.Lookup.Keys)})
		}
	}
	b.ReportMetric(float64(update)/16, "update-B/event")
	b.ReportMetric(float64(lookup)/8, "lookup-B/piece")
	b.ReportMetric(float64(reply)/8, "reply-B/piece")
	b.ReportMetric(float64(parts), "parts/8-pieces")
}

func size[T any](b *testing.B, m T) int {
	t, err := codec.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	return len(t)
}
