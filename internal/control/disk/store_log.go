package disk

import (
	"errors"
	"fmt"

	"hornbeamwood/internal/control/raft"
)

var errClosed = errors.New("disk: the data folder is closed")

// loadLog reads the snapshot and the segments and starts a new segment.
func (s *store) loadLog(names []string) error {
	r := replay{files: s.config.Files}
	if s.latest = latestSnapshot(names); s.latest != "" {
		snapshot, err := readSnapshot(s.config.Files, s.latest)
		if err != nil {
			return err
		}
		r.snapshot = snapshot.Meta
	}
	if err := s.replaySegments(&r, names); err != nil {
		return err
	}
	entries, reset, err := r.finish()
	if err != nil {
		return err
	}
	if s.founding == nil && (r.hard.Term > 0 || len(entries) > 0) {
		return &Corruption{Path: s.config.Files.Path(foundingName), Reason: "the founding configuration is missing beside a log"}
	}
	s.state.HardState, s.state.Snapshot, s.state.Entries = r.hard, r.snapshot, entries
	s.hard, s.segments = r.hard, r.segments
	s.after, s.end = r.after, r.after+uint64(len(r.entries))
	if err := s.startSegment(); err != nil {
		return err
	}
	if reset {
		return s.reset(r.snapshot.Index)
	}
	return nil
}

func (s *store) replaySegments(r *replay, names []string) error {
	var segments []string
	for _, n := range names {
		if number, ok := segmentNumber(n); ok {
			segments = append(segments, n)
			s.number = number
		}
	}
	for i, n := range segments {
		newest := i == len(segments)-1
		whole, torn, err := r.read(n, newest)
		if err != nil {
			return err
		}
		s.state.TornBytes += int64(torn)
		if !newest {
			continue
		}
		if len(whole) == 0 {
			r.segments = r.segments[:len(r.segments)-1]
			return s.removeTorn(n)
		}
		if err := s.writeAgain(n, whole); err != nil {
			return err
		}
	}
	return nil
}

// writeAgain makes what was read of the newest segment durable.
//
// A process that was killed before its sync leaves a write that can be read but that a power loss takes away. A sync
// of the same file isn't enough: after a failed one, the kernel may count the data as written.
func (s *store) writeAgain(name string, whole []byte) error {
	s.state.RewrittenBytes = int64(len(whole))
	return writeDocument(s.config.Files, name, whole)
}

// removeTorn removes a segment whose first write is incomplete.
func (s *store) removeTorn(name string) error {
	files := s.config.Files
	if err := files.Remove(name); err != nil {
		return fmt.Errorf("disk: remove the incomplete %s: %w", files.Path(name), err)
	}
	return files.Sync()
}

// startSegment creates a new segment. The segment repeats the hard state so that older segments can be removed.
func (s *store) startSegment() error {
	s.number++
	name := segmentName(s.number)
	file, err := s.config.Files.Create(name)
	if err != nil {
		return s.check(fmt.Errorf("disk: create %s: %w", s.config.Files.Path(name), err))
	}
	s.file = file
	s.segments = append(s.segments, segment{name: name, last: s.end})
	s.buffer = append(s.buffer[:0], segmentMagic...)
	s.buffer = appendHardState(s.buffer, s.hard)
	s.buffer = appendStart(s.buffer, s.end)
	s.written = 0
	if err := s.flush(); err != nil {
		return err
	}
	return s.check(s.config.Files.Sync())
}

// flush writes the buffer and syncs the file.
func (s *store) flush() error {
	name := s.config.Files.Path(segmentName(s.number))
	if _, err := s.file.Write(s.buffer); err != nil {
		return s.check(fmt.Errorf("disk: write %s: %w", name, err))
	}
	if err := s.file.Sync(); err != nil {
		return s.check(fmt.Errorf("disk: sync %s: %w", name, err))
	}
	s.written += len(s.buffer)
	return nil
}

// Append implements Store.
func (s *store) Append(hard *raft.HardState, entries []raft.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if hard != nil {
		s.hard = *hard
	}
	s.buffer = appendHardState(s.buffer[:0], s.hard)
	for _, e := range entries {
		s.buffer, s.scratch = appendEntry(s.buffer, e, s.scratch)
	}
	if err := s.flush(); err != nil {
		return err
	}
	if len(entries) > 0 {
		s.end = entries[len(entries)-1].Index
		current := &s.segments[len(s.segments)-1]
		current.last = max(current.last, s.end)
	}
	if s.written < s.config.SegmentBytes {
		return nil
	}
	return s.rotate()
}

// rotate closes the current segment, which is already synced, and starts the next.
func (s *store) rotate() error {
	if err := s.file.Close(); err != nil {
		return s.check(fmt.Errorf("disk: close a segment: %w", err))
	}
	return s.startSegment()
}

func (s *store) reset(after uint64) error {
	s.after, s.end = after, after
	s.buffer = appendReset(appendHardState(s.buffer[:0], s.hard), after)
	current := &s.segments[len(s.segments)-1]
	current.last = max(current.last, after)
	return s.flush()
}

// Compact implements Store.
func (s *store) Compact(index uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if s.written > len(segmentMagic)+compactAfter {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	removed := 0
	for removed < len(s.segments)-1 && s.segments[removed].last <= index {
		if err := s.config.Files.Remove(s.segments[removed].name); err != nil {
			return s.check(fmt.Errorf("disk: remove a compacted segment: %w", err))
		}
		// Without a sync after each removal, a crash could keep a later removal
		// and lose an earlier one. The log would then appear to have a gap.
		if err := s.check(s.config.Files.Sync()); err != nil {
			return err
		}
		removed++
	}
	s.segments = s.segments[removed:]
	return nil
}

// compactAfter is the size in bytes above which compaction closes the current segment, so that idle logs don't rotate.
const compactAfter = 64 << 10
