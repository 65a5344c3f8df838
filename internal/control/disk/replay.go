package disk

import (
	"fmt"

	"hornbeamwood/internal/control/raft"
)

// replay reconstructs the log from its segments.
type replay struct {
	files    Files
	snapshot raft.SnapshotMeta
	hard     raft.HardState
	// after is the index of the last entry before entries.
	after    uint64
	entries  []raft.Entry
	segments []segment
	// opened is true after the start record of the current segment was read,
	// started after that of any segment was.
	opened, started bool
}

// read replays one segment and returns the offset of its torn tail, or -1 if it has none.
func (r *replay) read(name string, newest bool) (int64, error) {
	b, err := r.files.Read(name)
	if err != nil {
		return 0, fmt.Errorf("disk: read %s: %w", r.files.Path(name), err)
	}
	r.segments = append(r.segments, segment{name: name})
	r.opened = false
	if len(b) < len(segmentMagic) && segmentMagic[:len(b)] == string(b) {
		return r.torn(name, 0, newest)
	}
	if string(b[:min(len(b), len(segmentMagic))]) != segmentMagic {
		return 0, r.corrupt(name, 0, "this is not a log segment of this version")
	}
	for at := len(segmentMagic); at < len(b); {
		payload, size, state := readFrame(b[at:])
		if state == frameTorn {
			return r.torn(name, at, newest)
		}
		if state == frameCorrupt {
			return 0, r.corrupt(name, at, "a record does not match its checksum")
		}
		if err := r.record(payload); err != nil {
			return 0, r.corrupt(name, at, err.Error())
		}
		at += size
	}
	return -1, nil
}

// torn accepts an incomplete record only at the end of the newest segment.
//
// Every segment is synced before the next one is created, and a write is
// acknowledged only after a sync. An incomplete record at the end of the newest
// segment therefore was never acknowledged; in an older segment it means that
// acknowledged data is lost.
func (r *replay) torn(name string, at int, newest bool) (int64, error) {
	if !newest {
		return 0, r.corrupt(name, at, "the file ends within a record, yet a later segment exists")
	}
	return int64(at), nil
}

func (r *replay) corrupt(name string, at int, reason string) error {
	return &Corruption{Path: r.files.Path(name), Offset: int64(at), Reason: reason}
}

// record replays one record, given its payload.
func (r *replay) record(payload []byte) error {
	if len(payload) == 0 {
		return errRecord
	}
	switch recordKind(payload[0]) {
	case recordStart:
		return r.start(payload)
	case recordHardState:
		return r.hardState(payload)
	case recordEntry:
		return r.entry(payload)
	case recordReset:
		return r.reset(payload)
	}
	return errRecord
}

func (r *replay) start(payload []byte) error {
	after, err := parseIndex(payload)
	if err != nil {
		return err
	}
	if !r.started {
		r.after, r.started = after, true
	}
	if got := r.after + uint64(len(r.entries)); after != got {
		return fmt.Errorf("the segment follows entry %d, but the log before it ends at %d", after, got)
	}
	r.segments[len(r.segments)-1].last = after
	r.opened = true
	return nil
}

func (r *replay) hardState(payload []byte) error {
	h, err := parseHardState(payload)
	if err != nil {
		return err
	}
	if h.Term < r.hard.Term {
		return fmt.Errorf("term %d follows term %d", h.Term, r.hard.Term)
	}
	r.hard = h
	return nil
}

func (r *replay) entry(payload []byte) error {
	e, err := parseEntry(payload)
	if err != nil {
		return err
	}
	end := r.after + uint64(len(r.entries))
	if !r.opened || e.Index == 0 || e.Index > end+1 {
		return fmt.Errorf("entry %d follows entry %d", e.Index, end)
	}
	if e.Index <= r.after {
		// A leader overwrote entries whose segment has been removed since.
		r.after, r.entries = e.Index-1, nil
	}
	r.entries = append(r.entries[:e.Index-r.after-1], e)
	s := &r.segments[len(r.segments)-1]
	s.last = max(s.last, e.Index)
	return nil
}

func (r *replay) reset(payload []byte) error {
	after, err := parseIndex(payload)
	if err != nil {
		return err
	}
	r.after, r.entries = after, nil
	s := &r.segments[len(r.segments)-1]
	s.last = max(s.last, after)
	return nil
}

// finish returns the entries after the snapshot and whether the log must be reset to the snapshot.
func (r *replay) finish() (entries []raft.Entry, reset bool, err error) {
	s := r.snapshot
	end := r.after + uint64(len(r.entries))
	if s.Index < r.after {
		return nil, false, fmt.Errorf("disk: the log follows entry %d but the latest snapshot ends at %d; this replica must not vote: "+
			"move the data folder away, start the replica with an empty one and admit it anew", r.after, s.Index)
	}
	if s.Index == r.after {
		return r.entries, false, nil
	}
	if s.Index > end || r.entries[s.Index-r.after-1].Term != s.Term {
		// A snapshot was installed and the process died before the log was
		// reset. The entries of the log are older or were overwritten by a leader.
		return nil, true, nil
	}
	return r.entries[s.Index-r.after:], false, nil
}
