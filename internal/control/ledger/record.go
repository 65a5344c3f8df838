package ledger

import "time"

// phase is the state of a record. Its values are part of the snapshot format.
type phase uint8

const (
	live phase = iota
	settled
	unknown
	released
)

// owner is one process of an entry. The owner's records in a shard share one value.
type owner struct {
	entry       string
	incarnation uint64
}

// record is the state of one call. The field order keeps the struct small.
type record struct {
	scope            Scope
	owner            *owner
	attempt          string
	headers          []Header
	body             []byte
	expires          int64
	since            int64
	heapIndex        int32
	status           uint16
	phase            phase
	dropped          bool
	retentionSeconds uint32
	digest           Digest
}

func (r *record) retention() time.Duration {
	return time.Duration(r.retentionSeconds) * time.Second
}

func (r *record) answer() *Answer {
	return &Answer{
		Status:  int(r.status),
		Headers: r.headers,
		Body:    r.body,
		Dropped: r.dropped,
	}
}

func (r *record) setAnswer(a Answer) {
	r.status = uint16(a.Status)
	r.headers = a.Headers
	r.body = a.Body
	r.dropped = a.Dropped
}

// result returns the result for a request with the given digest and attempt.
func (r *record) result(d Digest, attempt string) Result {
	if r.phase == released {
		return Result{Kind: Absent}
	}
	if d != (Digest{}) && d != r.digest {
		return Result{Kind: Mismatch}
	}
	found := Result{Attempt: r.attempt, Entry: r.owner.entry}
	switch {
	case r.phase == settled:
		found.Kind = Found
		found.Answer = r.answer()
	case r.phase == unknown:
		found.Kind = Unknown
	case r.attempt == attempt:
		found.Kind = Granted
	default:
		found.Kind = Busy
		found.RetryAfter = busyRetry
	}
	return found
}
