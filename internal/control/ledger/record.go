package ledger

import "time"

type phase uint8

const (
	live phase = iota
	settled
	unknown
	released
)

// owner is one process of an entry; its records share one value.
type owner struct {
	entry       string
	incarnation uint64
}

// record is one call; its fields are ordered so that it stays small.
type record struct {
	scope    Scope
	owner    *owner
	attempt  string
	headers  []Header
	body     []byte
	expires  int64
	since    int64
	place    int32
	status   uint16
	phase    phase
	dropped  bool
	keepSecs uint32
	digest   Digest
}

func (r *record) keep() time.Duration {
	return time.Duration(r.keepSecs) * time.Second
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

// result returns what a request with the given digest and attempt finds.
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
