package raft_test

import (
	"bytes"
	"fmt"

	"hornbeamwood/internal/control/raft"
)

// place is one entry's index and term.
type place struct{ index, term uint64 }

// commitment is one committed entry as a single copy of the state sees it.
type commitment struct {
	entry raft.Entry
	// term is the one in which the commit was first seen.
	term uint64
	// after is the naive single copy after the entry.
	after register
}

// oracle sees everything that all replicas do and holds it to the rules.
type oracle struct {
	leaders   map[uint64]raft.Identity
	entries   map[place]raft.Entry
	previous  map[place]uint64
	committed []commitment
	copy      register
	// accepted is the last index that any caller was told of, by an edit or a read.
	accepted uint64
	edits    int
	reads    int
	broken   error
}

func newOracle() *oracle {
	return &oracle{leaders: map[uint64]raft.Identity{}, entries: map[place]raft.Entry{}, previous: map[place]uint64{}}
}

// fail keeps the first rule that was broken.
func (o *oracle) fail(format string, args ...any) {
	if o.broken == nil {
		o.broken = fmt.Errorf(format, args...)
	}
}

// leads holds a leader to election safety and leader completeness.
func (o *oracle) leads(v *vm, term uint64) {
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

// persists holds an entry to log matching: one content and one predecessor for each index and term.
func (o *oracle) persists(v *vm, e raft.Entry) {
	at := place{e.Index, e.Term}
	known, ok := o.entries[at]
	if ok && (known.Kind != e.Kind || !bytes.Equal(known.Data, e.Data)) {
		o.fail("log matching: two entries at index %d of term %d", e.Index, e.Term)
	}
	o.entries[at] = e
	before, ok := v.termAt(e.Index - 1)
	if !ok {
		return
	}
	if p, ok := o.previous[at]; ok && p != before {
		o.fail("log matching: entry %d of term %d follows terms %d and %d", e.Index, e.Term, p, before)
	}
	o.previous[at] = before
}

// commits holds an applied entry to state-machine safety and returns the single copy after it.
func (o *oracle) commits(v *vm, e raft.Entry, term uint64) register {
	if e.Index > uint64(len(o.committed))+1 {
		o.fail("state-machine safety: %s applies entry %d before anybody committed %d", v.identity, e.Index, len(o.committed)+1)
		return register{}
	}
	if e.Index == uint64(len(o.committed))+1 {
		if e.Kind == raft.EntryCommand {
			o.copy.apply(e.Data)
		}
		o.committed = append(o.committed, commitment{entry: e, term: term, after: o.copy})
	}
	c := o.committed[e.Index-1]
	if c.entry.Term != e.Term || c.entry.Kind != e.Kind || !bytes.Equal(c.entry.Data, e.Data) {
		o.fail("state-machine safety: %s applies another entry at %d: term %d, not %d", v.identity, e.Index, e.Term, c.entry.Term)
	}
	return c.after
}

// answers holds an accepted edit or a confirmed read to the single copy.
func (o *oracle) answers(what string, floor, index uint64, got register) {
	if index < floor {
		o.fail("linearizability: a %s sees entry %d, but %d was accepted or read before it began", what, index, floor)
	}
	if index > 0 && o.committed[index-1].after != got {
		o.fail("linearizability: a %s at %d gives %+v, a single copy %+v", what, index, got, o.committed[index-1].after)
	}
	o.accepted = max(o.accepted, index)
}
