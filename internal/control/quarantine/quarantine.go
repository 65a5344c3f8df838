package quarantine

import (
	"fmt"
	"sync"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/policy/suspicion"
)

const (
	// Name is the section's name in commands and queries.
	Name = "quarantine"
	// maxRecords bounds the memory that a caller can occupy with prompts that
	// crash servers, or that run on servers that are lost for other reasons.
	maxRecords  = 4096
	maxRunning  = 1024
	maxRemovals = 1024
	maxLosses   = 8
	maxLease    = 10 * time.Minute
	minLease    = time.Second
)

// quarantine is the section's state. It is small and rarely changes, so one lock is enough.
type quarantine struct {
	mu       sync.RWMutex
	version  uint64
	limit    int
	records  map[suspicion.Fingerprint]*record
	slots    map[string]slot
	removals []removal
	// forgotten is the version of the newest removal that was dropped from removals.
	forgotten uint64
}

// New returns an empty quarantine section.
func New() state.Section {
	return &quarantine{records: map[suspicion.Fingerprint]*record{}, slots: map[string]slot{}}
}

// Name implements state.Section.
func (q *quarantine) Name() string { return Name }

// Apply implements state.Section.
func (q *quarantine) Apply(at time.Time, command []byte) []byte {
	c, err := codec.Unmarshal[Command](command)
	if err != nil {
		return encode(Result{})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	before := q.version
	q.expire(at)
	r := q.apply(at, c)
	r.Version = q.version
	r.Changes = q.changesSince(before)
	return encode(r)
}

func (q *quarantine) apply(at time.Time, c Command) Result {
	switch {
	case c.Lost != nil:
		return q.lost(at, c.Lost)
	case c.Begin != nil:
		return q.begin(at, c.Begin)
	case c.Finish != nil:
		return q.finish(c.Finish)
	case c.Clear != nil:
		q.remove(c.Clear.Fingerprint)
		return Result{Valid: true, Standing: suspicion.Clear}
	default:
		return Result{}
	}
}

// Query implements state.Section.
func (q *quarantine) Query(query []byte) ([]byte, error) {
	body, err := codec.Unmarshal[Query](query)
	if err != nil {
		return nil, err
	}
	q.mu.RLock()
	defer q.mu.RUnlock()
	switch {
	case body.Since != nil:
		return codec.Marshal(q.since(body.Since.Version))
	case body.List != nil:
		return codec.Marshal(q.list(body.List.Workspace))
	default:
		return nil, fmt.Errorf("quarantine: the query has no field set")
	}
}

// encode returns the encoding of r. It can't fail because Result has plain fields only.
func encode(r Result) []byte {
	b, err := codec.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("quarantine: encode result: %v", err))
	}
	return b
}
