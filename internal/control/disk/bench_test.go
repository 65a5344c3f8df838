package disk_test

import (
	"fmt"
	"testing"

	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/raft"
)

func onDisk(b *testing.B) disk.Store {
	b.Helper()
	files, err := disk.NewFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	s, err := disk.Open(disk.Config{Files: files, Name: "control-1"})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Close() })
	return s
}

// BenchmarkAppend measures one write and sync of the given number of entries of 200 bytes.
func BenchmarkAppend(b *testing.B) {
	for _, count := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			s := onDisk(b)
			batch := make([]raft.Entry, count)
			next := uint64(1)
			for b.Loop() {
				for i := range batch {
					batch[i] = raft.Entry{Index: next, Term: 1, Data: make([]byte, 200)}
					next++
				}
				if err := s.Append(nil, batch); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures saving and syncing a snapshot, in total and per MB.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("MB=%d", size), func(b *testing.B) {
			s := onDisk(b)
			data := make([]byte, size<<20)
			for i := range data {
				data[i] = byte(i * 7)
			}
			index := uint64(0)
			for b.Loop() {
				index++
				meta := raft.SnapshotMeta{Index: index, Term: 1}.WithData(data)
				if err := s.SaveSnapshot(raft.Snapshot{Meta: meta, Data: data}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(b.Elapsed().Seconds()*1e3/float64(index)/float64(size), "save-ms/MB")
		})
	}
}
