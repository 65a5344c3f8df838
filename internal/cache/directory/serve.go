package directory

import "time"

// MaxLookup is the largest number of keys in one Lookup.
const MaxLookup = 1024

// Serve applies a message from another node or from this one and returns the reply.
func Serve(d Directory, now time.Time, m Message) Reply {
	switch {
	case m.Update != nil:
		return Reply{Effect: d.Update(now, *m.Update)}
	case m.Listing != nil:
		return Reply{Effect: d.Listing(now, *m.Listing)}
	case m.Store != nil:
		return Reply{Effect: d.Store(now, *m.Store)}
	case m.Pin != nil:
		return Reply{Effect: d.Pin(now, *m.Pin)}
	case m.Unpin != nil:
		return Reply{Effect: d.Unpin(now, *m.Unpin)}
	case len(m.Batch) > 0 && len(m.Batch) <= MaxLookup:
		return serveBatch(d, now, m.Batch)
	case m.Lookup != nil && len(m.Lookup.Keys) <= MaxLookup:
		return Reply{Locations: d.Lookup(m.Lookup.Keys)}
	}
	return Reply{Effect: Effect{Outcome: Refused}}
}

// serveBatch serves each message of a batch. It refuses nested batches, whose depth would be unlimited.
func serveBatch(d Directory, now time.Time, all []Message) Reply {
	r := Reply{Batch: make([]Reply, len(all))}
	for i, m := range all {
		if len(m.Batch) > 0 {
			r.Batch[i].Effect.Outcome = Refused
			continue
		}
		r.Batch[i] = Serve(d, now, m)
	}
	return r
}
