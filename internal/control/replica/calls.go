package replica

import (
	"context"

	"hornbeamwood/internal/control/raft"
)

// pendingRead is a pending ReadIndex call.
type pendingRead struct {
	done chan readResult
}

type readResult struct {
	index uint64
	err   error
}

func (q *pendingRead) finish(index uint64, err error) {
	q.done <- readResult{index: index, err: err}
}

// Propose implements Replica.
func (r *replica) Propose(ctx context.Context, command []byte) (Applied, error) {
	if len(command) > MaxCommand {
		return Applied{}, errTooLarge()
	}
	return r.submit(ctx, &proposal{command: command, done: make(chan outcome, 1)})
}

func (r *replica) submit(ctx context.Context, p *proposal) (Applied, error) {
	if err := r.enqueue(p); err != nil {
		return Applied{}, err
	}
	select {
	case o := <-p.done:
		return o.applied, o.err
	case <-ctx.Done():
	}
	if p.claim() {
		return Applied{}, errTimeout(ctx.Err())
	}
	select {
	case o := <-p.done:
		return o.applied, o.err
	default:
		return Applied{}, errCommitUnknown(ctx.Err())
	}
}

func (r *replica) enqueue(p *proposal) error {
	r.closeMu.RLock()
	defer r.closeMu.RUnlock()
	if r.closed {
		return errStopped(r.Err())
	}
	select {
	case r.proposals <- p:
		return nil
	default:
		return errQueueFull()
	}
}

// ReadIndex implements Replica.
func (r *replica) ReadIndex(ctx context.Context) (uint64, error) {
	q := &pendingRead{done: make(chan readResult, 1)}
	if err := r.enqueueRead(q); err != nil {
		return 0, err
	}
	select {
	case o := <-q.done:
		return o.index, o.err
	case <-ctx.Done():
		return 0, errTimeout(ctx.Err())
	}
}

func (r *replica) enqueueRead(q *pendingRead) error {
	r.closeMu.RLock()
	defer r.closeMu.RUnlock()
	if r.closed {
		return errStopped(r.Err())
	}
	select {
	case r.reads <- q:
		return nil
	default:
		return errQueueFull()
	}
}

// WaitApplied implements Replica.
func (r *replica) WaitApplied(ctx context.Context, index uint64) error {
	return r.applied.wait(ctx, index, r.done)
}

// Receive implements Replica.
func (r *replica) Receive(m raft.Message) {
	select {
	case r.inbox <- m:
	default:
	}
}

// AddLearner implements Replica.
func (r *replica) AddLearner(ctx context.Context, m raft.Member) error {
	return r.change(ctx, raft.AddLearner(m))
}

// Promote implements Replica.
func (r *replica) Promote(ctx context.Context, id raft.Identity) error {
	return r.change(ctx, raft.Promote(id))
}

// Remove implements Replica.
func (r *replica) Remove(ctx context.Context, id raft.Identity) error {
	return r.change(ctx, raft.Remove(id))
}

func (r *replica) change(ctx context.Context, c raft.Change) error {
	_, err := r.submit(ctx, &proposal{change: c, done: make(chan outcome, 1)})
	return err
}

// Stop implements Replica.
func (r *replica) Stop(ctx context.Context) error {
	select {
	case r.stopping <- ctx:
	default:
	}
	select {
	case <-r.done:
		return r.Err()
	case <-ctx.Done():
		return errTimeout(ctx.Err())
	}
}
