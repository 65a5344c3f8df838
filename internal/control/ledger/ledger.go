package ledger

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/state"
)

type ledger struct {
	at     atomic.Int64
	cursor atomic.Uint32
	shards [shardCount]atomic.Pointer[shard]
}

// New returns an empty ledger section.
func New() state.Section {
	l := &ledger{}
	for i := range l.shards {
		l.shards[i].Store(newShard())
	}
	return l
}

// Name implements state.Section.
func (l *ledger) Name() string { return Name }

func (l *ledger) shard(workspace string) *shard {
	return l.shards[shardOf(workspace)].Load()
}

func shardOf(workspace string) int {
	return int(xxhash.Sum64String(workspace) % shardCount)
}

// Apply implements state.Section.
func (l *ledger) Apply(at time.Time, command []byte) []byte {
	l.at.Store(at.UnixNano())
	c, err := codec.UnmarshalCommand[Command](command)
	if err != nil {
		return encode(Result{Kind: Invalid})
	}
	l.sweep(at.UnixNano())
	return encode(l.apply(at, c))
}

// sweep removes a few expired records from the next shards, so that an idle
// workspace doesn't hold memory.
func (l *ledger) sweep(at int64) {
	remaining := expiryBatch
	for range sweepShards {
		s := l.shards[l.cursor.Add(1)%shardCount].Load()
		s.mu.Lock()
		remaining -= s.expire(at, remaining)
		s.mu.Unlock()
		if remaining == 0 {
			return
		}
	}
}

func (l *ledger) apply(at time.Time, c Command) Result {
	switch {
	case c.Claim != nil:
		return l.claim(at, c.Claim)
	case c.Outcome != nil:
		return l.withShard(at, c.Outcome.Scope, func(s *shard) Result { return s.outcome(at, c.Outcome) })
	case c.Release != nil:
		return l.withShard(at, c.Release.Scope, func(s *shard) Result { return s.release(at, c.Release) })
	case c.MarkUnknown != nil:
		return l.withShard(at, c.MarkUnknown.Scope, func(s *shard) Result { return s.markUnknown(c.MarkUnknown) })
	case c.Resolve != nil:
		return l.withShard(at, c.Resolve.Scope, func(s *shard) Result { return s.resolve(at, c.Resolve) })
	case c.Abandon != nil:
		return l.abandon(at.UnixNano(), c.Abandon)
	default:
		return Result{Kind: Invalid}
	}
}

func (l *ledger) claim(at time.Time, c *Claim) Result {
	if c.Scope.Key == "" || len(c.Scope.Key) > MaxKey || c.Attempt == "" || c.Entry == "" || c.Incarnation == 0 {
		return Result{Kind: Invalid}
	}
	return l.withShard(at, c.Scope, func(s *shard) Result { return s.claim(at, c) })
}

// withShard calls f with the scope's shard while it holds the shard's lock.
func (l *ledger) withShard(at time.Time, scope Scope, f func(*shard) Result) Result {
	s := l.shard(scope.Workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(at.UnixNano(), expiryBatch)
	s.expireScope(scope, at.UnixNano())
	return f(s)
}

func (l *ledger) abandon(at int64, a *Abandon) Result {
	result := Result{Kind: Done}
	for i := range l.shards {
		s := l.shards[i].Load()
		s.mu.Lock()
		result.Count += s.abandon(at, a)
		s.mu.Unlock()
	}
	return result
}

// Check implements state.Section.
func (l *ledger) Check(command []byte) error {
	_, err := codec.UnmarshalCommand[Command](command)
	return err
}

// Query implements state.Section.
func (l *ledger) Query(query []byte) ([]byte, error) {
	q, err := codec.Unmarshal[Query](query)
	if err != nil {
		return nil, err
	}
	switch {
	case q.Lookup != nil:
		return codec.Marshal(l.lookup(q.Lookup))
	case q.Counts != nil:
		return codec.Marshal(l.countsOf(q.Counts.Workspace))
	case q.Unknown != nil:
		return codec.Marshal(l.unknowns(q.Unknown))
	case q.Owners != nil:
		return codec.Marshal(l.owners())
	default:
		return nil, fmt.Errorf("ledger: the query has no field set")
	}
}

// encode returns the encoding of r. It can't fail because Result has plain fields only.
func encode(r Result) []byte {
	b, err := codec.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("ledger: encode result: %v", err))
	}
	return b
}
