package replica

import (
	"sync"
	"sync/atomic"

	"hornbeamwood/internal/control/raft"
)

// outcome is the result of a proposal.
type outcome struct {
	applied Applied
	err     error
}

// proposal is a pending command or membership change.
type proposal struct {
	command []byte
	change  raft.Change
	done    chan outcome
	// claimed is set by the loop when it appends the proposal, or by the caller when it withdraws it after a timeout, whichever comes first.
	claimed atomic.Bool
}

// claim claims the proposal for appending or withdrawing and reports whether it was unclaimed.
func (p *proposal) claim() bool {
	return p.claimed.CompareAndSwap(false, true)
}

func (p *proposal) finish(o outcome) {
	p.done <- o
}

// pending holds the appended proposals by index until they are applied.
type pending struct {
	mu      sync.Mutex
	waiting map[uint64]waiter
}

type waiter struct {
	term     uint64
	proposal *proposal
}

func newPending() *pending {
	return &pending{waiting: map[uint64]waiter{}}
}

func (p *pending) add(index, term uint64, proposals []*proposal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range proposals {
		p.waiting[index+uint64(i)] = waiter{term: term, proposal: w}
	}
}

// resolve completes the proposal at the index of e with the result of applying e.
func (p *pending) resolve(e raft.Entry, result []byte) {
	p.mu.Lock()
	w, ok := p.waiting[e.Index]
	delete(p.waiting, e.Index)
	p.mu.Unlock()
	if !ok {
		return
	}
	if w.term != e.Term {
		w.proposal.finish(outcome{err: errCommitUnknown(nil)})
		return
	}
	w.proposal.finish(outcome{applied: Applied{Index: e.Index, Result: result}})
}

// failAfter completes the proposals at indexes above committed with an unknown outcome; the others are resolved when their entries are applied.
func (p *pending) failAfter(committed uint64, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for index, w := range p.waiting {
		if index <= committed {
			continue
		}
		delete(p.waiting, index)
		w.proposal.finish(outcome{err: errCommitUnknown(cause)})
	}
}
