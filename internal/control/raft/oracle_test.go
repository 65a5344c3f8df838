package raft_test

import (
	"bytes"
	"fmt"

	"hornbeamwood/internal/control/raft"
)

// entryID is the index and term of an entry.
type entryID struct{ index, term uint64 }

// committedEntry is a committed entry with the reference state after it.
type committedEntry struct {
	entry raft.Entry
	// term is the term in which the commit was first observed.
	term uint64
	// after is the state of the reference copy after the entry.
	after register
}

// oracle observes all replicas and checks the safety properties of Raft.
type oracle struct {
	leaders map[uint64]raft.Identity
	entries map[entryID]raft.Entry
	// previousTerms holds the term of the entry before each entry.
	previousTerms map[entryID]uint64
	committed     []committedEntry
	// reference is a single copy of the state.
	reference register
	// acknowledged is the last index that any caller has observed, by an edit or a read.
	acknowledged uint64
	edits        int
	reads        int
	violation    error
}

func newOracle() *oracle {
	return &oracle{leaders: map[uint64]raft.Identity{}, entries: map[entryID]raft.Entry{}, previousTerms: map[entryID]uint64{}}
}

// fail keeps the first violation.
func (o *oracle) fail(format string, args ...any) {
	if o.violation == nil {
		o.violation = fmt.Errorf(format, args...)
	}
}

// checkLeader checks election safety and leader completeness.
func (o *oracle) checkLeader(v *vm, term uint64) {
	id := v.identity
	if other, ok := o.leaders[term]; ok && other != id {
		o.fail("election safety: %s and %s both lead term %d", other, id, term)
	}
	if _, ok := o.leaders[term]; ok {
		return
	}
	o.leaders[term] = id
	for i, c := range o.committed {
		index := uint64(i) + 1
		if index <= v.snapshot.Meta.Index || c.term >= term {
			continue
		}
		if got, ok := v.log[index]; !ok || got.Term != c.entry.Term {
			o.fail("leader completeness: %s leads term %d without entry %d of term %d", id, term, index, c.entry.Term)
		}
	}
}

// checkPersisted checks log matching: each index and term has one content and one preceding entry.
func (o *oracle) checkPersisted(v *vm, e raft.Entry) {
	id := entryID{e.Index, e.Term}
	known, ok := o.entries[id]
	if ok && (known.Kind != e.Kind || !bytes.Equal(known.Data, e.Data)) {
		o.fail("log matching: two entries at index %d of term %d", e.Index, e.Term)
	}
	o.entries[id] = e
	before, ok := v.termAt(e.Index - 1)
	if !ok {
		return
	}
	if p, ok := o.previousTerms[id]; ok && p != before {
		o.fail("log matching: entry %d of term %d follows terms %d and %d", e.Index, e.Term, p, before)
	}
	o.previousTerms[id] = before
}

// checkApplied checks an applied entry for state-machine safety and returns the reference state after it.
func (o *oracle) checkApplied(v *vm, e raft.Entry, term uint64) register {
	if e.Index > uint64(len(o.committed))+1 {
		o.fail("state-machine safety: %s applies entry %d before any replica committed %d", v.identity, e.Index, len(o.committed)+1)
		return register{}
	}
	if e.Index == uint64(len(o.committed))+1 {
		if e.Kind == raft.EntryCommand {
			o.reference.apply(e.Data)
		}
		o.committed = append(o.committed, committedEntry{entry: e, term: term, after: o.reference})
	}
	c := o.committed[e.Index-1]
	if c.entry.Term != e.Term || c.entry.Kind != e.Kind || !bytes.Equal(c.entry.Data, e.Data) {
		o.fail("state-machine safety: %s applies another entry at %d: term %d, not %d", v.identity, e.Index, e.Term, c.entry.Term)
	}
	return c.after
}

// checkAnswer checks an accepted edit or a confirmed read for linearizability.
func (o *oracle) checkAnswer(what string, floor, index uint64, got register) {
	if index < floor {
		o.fail("linearizability: a %s sees entry %d, but %d was accepted or read before it began", what, index, floor)
	}
	if index > 0 && o.committed[index-1].after != got {
		o.fail("linearizability: a %s at %d gives %+v, the reference state is %+v", what, index, got, o.committed[index-1].after)
	}
	o.acknowledged = max(o.acknowledged, index)
}
