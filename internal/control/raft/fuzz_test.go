package raft_test

import (
	"testing"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/raft"
)

// A peer of another version, or a faulty one, sends messages that decode but are
// invalid. The replica may ignore them. It must neither panic nor commit entries
// that no replica has.
func FuzzStep(f *testing.F) {
	for _, kind := range []raft.MessageKind{raft.MessageAppend, raft.MessageAppendResponse, raft.MessageHeartbeatResponse, raft.MessageSnapshot, raft.MessageSnapshotResponse, raft.MessageVote} {
		meta := raft.SnapshotMeta{Index: 9, Term: 2, Configuration: trio()}.WithData([]byte("x"))
		b, err := codec.Marshal(from("b", raft.Message{Kind: kind, Term: 2, Index: 1 << 60, Hint: 1<<64 - 1, Round: 1 << 63, Reject: kind%2 == 0, Offset: 1 << 62, Snapshot: &meta, Entries: commands(1, 2)}))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, true)
		f.Add(b, false)
	}
	f.Fuzz(func(t *testing.T, b []byte, leads bool) {
		m, err := codec.UnmarshalStrict[raft.Message](b)
		if err != nil {
			return
		}
		c := replicaA(1, trio(), commands(1, 1))
		if leads {
			elect(t, c)
		}
		m = from("b", m)
		for range 3 {
			c.Step(m)
			e := flush(c)
			if s := c.Status(); s.Commit > s.Last || len(e.Reads) > 0 {
				t.Fatalf("%+v after %+v", s, m)
			}
			c.Tick()
			flush(c)
		}
	})
}
