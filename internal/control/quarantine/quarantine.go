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
	maxRecords = 4096
	// maxParts bounds the records of parts of prompts likewise.
	maxParts    = 4096
	maxRunning  = 1024
	maxRemovals = 1024
	maxLosses   = 8
	maxLease    = 10 * time.Minute
	minLease    = time.Second
)

// Section records the requests, and the parts of prompts, that crash servers.
type Section interface {
	state.Section
	// Periods returns the quarantine of each quarantined attribute, and of parts that entries are told of before.
	Periods() map[suspicion.Fingerprint]suspicion.Period
	// Version returns a number that grows with each change of a standing.
	Version() uint64
}

// Config configures a Section.
type Config struct {
	// Changed, if set, is called after each change of a standing.
	Changed func()
}

// quarantine is the section's state. It is small and rarely changes, so one lock is enough.
type quarantine struct {
	Config
	mu      sync.RWMutex
	version uint64
	limit   int
	records map[suspicion.Fingerprint]*record
	// parts counts the records of parts.
	parts    int
	slots    map[string]slot
	removals []removal
	// forgotten is the version of the newest removal that was dropped from removals.
	forgotten uint64
}

// New returns an empty quarantine section.
func New(c Config) Section {
	return &quarantine{Config: c, records: map[suspicion.Fingerprint]*record{}, slots: map[string]slot{}}
}

// Name implements state.Section.
func (q *quarantine) Name() string { return Name }

// Apply implements state.Section.
func (q *quarantine) Apply(at time.Time, command []byte) []byte {
	c, err := codec.UnmarshalCommand[Command](command)
	if err != nil {
		return encode(Result{})
	}
	r, changed := q.applyLocked(at, c)
	if changed {
		q.changed()
	}
	return encode(r)
}

func (q *quarantine) applyLocked(at time.Time, c Command) (Result, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := q.version
	q.expire(at)
	r := q.apply(at, c)
	r.Version = q.version
	r.Changes = q.changesSince(before)
	return r, q.version != before
}

func (q *quarantine) changed() {
	if q.Changed != nil {
		q.Changed()
	}
}

// Version implements Section.
func (q *quarantine) Version() uint64 {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.version
}

// Periods implements Section.
func (q *quarantine) Periods() map[suspicion.Fingerprint]suspicion.Period {
	q.mu.RLock()
	defer q.mu.RUnlock()
	all := map[suspicion.Fingerprint]suspicion.Period{}
	for f, r := range q.records {
		if r.Standing == suspicion.Quarantined || r.suspected() {
			all[f] = r.period()
		}
	}
	return all
}

func (q *quarantine) apply(at time.Time, c Command) Result {
	switch {
	case c.Lost != nil:
		return q.lost(at, *c.Lost)
	case len(c.Losses) > 0:
		return q.lost(at, c.Losses...)
	case c.Begin != nil:
		return q.begin(at, c.Begin)
	case c.Finish != nil:
		return q.finish(c.Finish)
	case c.Clear != nil:
		q.remove(c.Clear.Fingerprint)
		return Result{Valid: true, Standing: suspicion.Clear}
	case c.Answered != nil:
		for _, f := range c.Answered.Fingerprints {
			q.remove(f)
			q.dropFromOthers(f, at)
		}
		return Result{Valid: true}
	default:
		return Result{}
	}
}

// Check implements state.Section.
func (q *quarantine) Check(command []byte) error {
	_, err := codec.UnmarshalCommand[Command](command)
	return err
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
