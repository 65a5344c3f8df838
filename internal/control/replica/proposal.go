package replica

import (
	"sync"
	"sync/atomic"

	"hornbeamwood/internal/control/raft"
)

// outcome is what became of a proposal.
type outcome struct {
	applied Applied
	err     error
}

// proposal is a command, or a membership change, on its way into the log.
type proposal struct {
	command []byte
	change  raft.Change
	done    chan outcome
	// taken is set by whoever comes first: the loop that appends it, or the caller that gives up.
	taken atomic.Bool
}

// take returns whether the proposal may be appended, or withdrawn, by the one who asks.
func (p *proposal) take() bool {
	return p.taken.CompareAndSwap(false, true)
}

func (p *proposal) finish(o outcome) {
	p.done <- o
}

// pending holds the appended proposals by their index until they are applied.
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

// resolve tells who waits for the entry at index what it gave.
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

// abandon tells those who wait for an entry behind committed that the outcome is not known; the others will be resolved.
func (p *pending) abandon(committed uint64, cause error) {
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
