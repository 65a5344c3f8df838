package ledger

import (
	"fmt"
	"slices"

	"hornbeamwood/internal/base/codec"
)

// Snapshot implements state.Section.
func (l *ledger) Snapshot() ([]byte, error) {
	i := image{At: l.at.Load(), Cursor: l.cursor.Load(), Shards: make([]shardImage, shardCount)}
	for n := range l.shards {
		i.Shards[n] = l.shards[n].Load().image()
	}
	return codec.Marshal(i)
}

// Restore implements state.Section.
func (l *ledger) Restore(snapshot []byte) error {
	i, err := codec.Unmarshal[image](snapshot)
	if err != nil {
		return err
	}
	if len(i.Shards) != shardCount {
		return fmt.Errorf("ledger: the snapshot has %d shards instead of %d", len(i.Shards), shardCount)
	}
	var shards [shardCount]*shard
	for n, si := range i.Shards {
		if shards[n], err = si.shard(n); err != nil {
			return err
		}
	}
	for n, s := range shards {
		l.shards[n].Store(s)
	}
	l.at.Store(i.At)
	l.cursor.Store(i.Cursor)
	return nil
}

func (s *shard) image() shardImage {
	s.mu.RLock()
	defer s.mu.RUnlock()
	i := shardImage{Fences: make(map[string]uint64, len(s.fences)), Records: make([]recordImage, 0, len(s.records))}
	for e, n := range s.fences {
		i.Fences[e] = n
	}
	for _, r := range s.records {
		i.Records = append(i.Records, r.image())
	}
	slices.SortFunc(i.Records, func(a, b recordImage) int { return compareScopes(a.Scope, b.Scope) })
	return i
}
