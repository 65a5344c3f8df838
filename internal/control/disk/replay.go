package disk

import (
	"bytes"
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

// read replays one segment and returns its content without an incomplete last write, and the size of that write.
func (r *replay) read(name string, newest bool) (whole []byte, torn int, err error) {
	b, err := r.files.Read(name)
	if err != nil {
		return nil, 0, fmt.Errorf("disk: read %s: %w", r.files.Path(name), err)
	}
	r.segments = append(r.segments, segment{name: name})
	r.opened = false
	if !bytes.HasPrefix(b, []byte(segmentMagic)) {
		err := r.torn(name, b, 0, newest)
		return nil, len(b), err
	}
	for at := len(segmentMagic); at < len(b); {
		payload, size, state := readFrame(b[at:])
		if state != frameWhole {
			err := r.torn(name, b, at, newest)
			return b[:at], len(b) - at, err
		}
		if err := r.record(payload); err != nil {
			return nil, 0, r.corrupt(name, at, err.Error())
		}
		at += size
	}
	return b, 0, nil
}

// torn accepts an incomplete write only at the end of the newest segment.
//
// Every segment is synced before the next one is created, and a write is
// acknowledged only after a sync. An incomplete write at the end of the newest
// segment therefore was never acknowledged; in an older segment it means that
// acknowledged data is lost.
func (r *replay) torn(name string, b []byte, at int, newest bool) error {
	switch {
	case isCut(b, at) && !newest:
		return r.corrupt(name, at, "the file ends within a record, yet a later segment exists")
	case newest && (isCut(b, at) || lacksSectors(b, at)):
		return nil
	case at == 0:
		return r.corrupt(name, at, "this is not a log segment of this version")
	}
	return r.corrupt(name, at, "a record does not match its checksum")
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
		reason := fmt.Sprintf("the log follows entry %d but the latest snapshot ends at %d", r.after, s.Index)
		return nil, false, &Corruption{Path: r.files.Path(""), Reason: reason}
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
