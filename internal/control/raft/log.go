package raft

import "slices"

// indexedConfiguration is a configuration with the index from which it is in force.
type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

// entryLog is the part of the log in memory: all entries after base.
type entryLog struct {
	// base and baseTerm are the index and term of the last compacted entry.
	base, baseTerm uint64
	entries        []Entry
	// snapshot is the latest snapshot on disk.
	snapshot SnapshotMeta
	// stable is the last entry on disk, commit the last committed one, applying the last one returned to be applied.
	stable, commit, applying uint64
	configurations           []indexedConfiguration
}

func newEntryLog(founding Configuration, snapshot SnapshotMeta, entries []Entry) *entryLog {
	l := &entryLog{configurations: []indexedConfiguration{{0, founding}}}
	l.restore(snapshot)
	l.append(entries)
	l.stable = l.last()
	return l
}

// restore replaces the whole log with a snapshot.
func (l *entryLog) restore(s SnapshotMeta) {
	l.base, l.baseTerm, l.entries, l.snapshot = s.Index, s.Term, nil, s
	l.stable, l.commit, l.applying = s.Index, s.Index, s.Index
	if s.Index > 0 {
		l.configurations = []indexedConfiguration{{s.Index, s.Configuration}}
	}
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index and whether it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from first to last without copying; they are never overwritten.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

// batch returns the entries from first on: at least one, and at most about limit bytes.
func (l *entryLog) batch(first uint64, limit int) []Entry {
	size := 0
	end := first
	for end <= l.last() {
		size += l.entries[end-l.base-1].size()
		if size > limit && end > first {
			break
		}
		end++
	}
	return l.slice(first, end-1)
}

// append adds entries after the last one.
func (l *entryLog) append(entries []Entry) {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		if e.Kind != EntryConfiguration {
			continue
		}
		if c, err := decodeConfiguration(e.Data); err == nil {
			l.configurations = append(l.configurations, indexedConfiguration{e.Index, c})
		}
	}
}

// truncate drops the entries from index on.
//
// Messages in flight and pending disk writes may still read the dropped entries,
// so the next append must not overwrite them. The truncated slice therefore has
// no spare capacity.
func (l *entryLog) truncate(index uint64) {
	n := index - l.base - 1
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, index-1)
	for len(l.configurations) > 1 && l.configurations[len(l.configurations)-1].index >= index {
		l.configurations = l.configurations[:len(l.configurations)-1]
	}
}

// merge adds a leader's entries that follow the matching entry at index, drops
// conflicting ones, and returns the index of the last added or matching entry.
func (l *entryLog) merge(index uint64, entries []Entry) uint64 {
	for i, e := range entries {
		if l.matches(e.Index, e.Term) || e.Index <= l.base {
			continue
		}
		if e.Index <= l.last() {
			l.truncate(e.Index)
		}
		l.append(entries[i:])
		break
	}
	return index + uint64(len(entries))
}

// upToDate reports whether a log with the given last entry is at least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// configuration returns the latest configuration, committed or not.
func (l *entryLog) configuration() Configuration {
	return l.configurations[len(l.configurations)-1].configuration
}

// configurationIndex returns the index of the latest configuration.
func (l *entryLog) configurationIndex() uint64 {
	return l.configurations[len(l.configurations)-1].index
}

// configurationAt returns the configuration in force at index.
func (l *entryLog) configurationAt(index uint64) Configuration {
	for i := len(l.configurations) - 1; i > 0; i-- {
		if l.configurations[i].index <= index {
			return l.configurations[i].configuration
		}
	}
	return l.configurations[0].configuration
}

// compactionIndex returns the index up to which to compact so that at most count
// entries and about limit bytes remain up to index.
func (l *entryLog) compactionIndex(index, count uint64, limit int) uint64 {
	at := min(index, l.last())
	size := 0
	for at > l.base && index-at < count {
		size += l.entries[at-l.base-1].size()
		if size > limit {
			break
		}
		at--
	}
	return at
}

// compact drops the entries up to index, which a snapshot includes.
func (l *entryLog) compact(index uint64) {
	if index <= l.base || index > l.last() {
		return
	}
	t, _ := l.term(index)
	l.entries = slices.Clone(l.slice(index+1, l.last()))
	l.base, l.baseTerm = index, t
	for len(l.configurations) > 1 && l.configurations[1].index <= index {
		l.configurations = l.configurations[1:]
	}
}
