package ledger

import "fmt"

// image is the encoded form of the section in a snapshot.
type image struct {
	At     int64        `cbor:"at"`
	Cursor uint32       `cbor:"cursor"`
	Shards []shardImage `cbor:"shards"`
}

// shardImage is the encoded form of one shard, with its records ordered by scope.
type shardImage struct {
	Fences  map[string]uint64 `cbor:"fences"`
	Records []recordImage     `cbor:"records"`
}

// recordImage is the encoded form of one record.
type recordImage struct {
	Scope       Scope  `cbor:"scope"`
	Entry       string `cbor:"entry"`
	Incarnation uint64 `cbor:"incarnation"`
	Attempt     string `cbor:"attempt"`
	Digest      Digest `cbor:"digest"`
	Phase       uint8  `cbor:"phase"`
	Since       int64  `cbor:"since"`
	Expires     int64  `cbor:"expires"`
	KeepSeconds uint32 `cbor:"keep"`
	Answer      Answer `cbor:"answer"`
}

func (r *record) image() recordImage {
	return recordImage{
		Scope:       r.scope,
		Entry:       r.owner.entry,
		Incarnation: r.owner.incarnation,
		Attempt:     r.attempt,
		Digest:      r.digest,
		Phase:       uint8(r.phase),
		Since:       r.since,
		Expires:     r.expires,
		KeepSeconds: r.retentionSeconds,
		Answer:      *r.answer(),
	}
}

// shard returns shard number n as encoded in i.
func (i shardImage) shard(n int) (*shard, error) {
	s := newShard()
	for e, f := range i.Fences {
		s.fences[s.intern(e)] = f
	}
	for _, ri := range i.Records {
		if shardOf(ri.Scope.Workspace) != n || ri.Phase > uint8(released) {
			return nil, fmt.Errorf("ledger: shard %d of the snapshot holds a record of another shard or of an unknown phase", n)
		}
		s.restore(ri)
	}
	return s, nil
}

func (s *shard) restore(i recordImage) {
	r := &record{
		scope:            Scope{Workspace: s.intern(i.Scope.Workspace), Service: s.intern(i.Scope.Service), Key: i.Scope.Key},
		owner:            s.internOwner(owner{entry: i.Entry, incarnation: i.Incarnation}),
		attempt:          i.Attempt,
		digest:           i.Digest,
		phase:            phase(i.Phase),
		since:            i.Since,
		retentionSeconds: i.KeepSeconds,
		heapIndex:        notQueued,
	}
	r.setAnswer(i.Answer)
	s.insert(r)
	if r.phase != unknown {
		s.queue.set(r, i.Expires)
	}
}
