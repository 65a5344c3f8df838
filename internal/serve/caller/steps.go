package caller

import (
	"sync"

	"hornbeamwood/internal/serve/events"
	"hornbeamwood/internal/site/directory"
)

const (
	// maxStepRecords bounds the records of steps.
	maxStepRecords = 4096
	// maxStep is the largest step that is remembered. A larger one is an odd number rather than an event of so many
	// tokens, and would hide holes of any size.
	maxStep = 1024
)

// stepKey identifies the servers whose streams have the same numbers: those of a version, or one whose version is
// unknown.
type stepKey struct{ service, software, server string }

func newStepKey(s directory.Server) stepKey {
	if s.Software == "" {
		return stepKey{service: s.Service, server: s.ID}
	}
	return stepKey{service: s.Service, software: s.Software}
}

// stepRecord is what is known of the numbers of events of some servers.
type stepRecord struct {
	// largest is the largest step between two events of a run, 1 if none is known.
	largest int64
	// begin is after the least number with which a new stream has begun.
	begin events.Position
	// doubted is after a number with which a new stream has begun at a server that no other one has confirmed.
	doubted events.Position
	server  string
}

// steps remembers the numbers that servers give to the events of their streams.
type steps struct {
	mu      sync.Mutex
	records map[stepKey]stepRecord
}

func newSteps() *steps {
	return &steps{records: map[stepKey]stepRecord{}}
}

// largest returns the largest step of a server.
func (s *steps) largest(v directory.Server) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(newStepKey(v)).largest
}

// record records a step that a server has made within a run.
func (s *steps) record(v directory.Server, step int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := newStepKey(v)
	r := s.get(k)
	if step <= maxStep {
		r.largest = max(r.largest, step)
	}
	s.put(k, r)
}

// begins returns whether a new stream that begins with the number leaves nothing out. While it isn't known that streams of
// these servers begin so early, two servers have to begin alike.
func (s *steps) begins(v directory.Server, number int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := newStepKey(v)
	r := s.get(k)
	begin, known := r.begin.Event()
	if known && number >= begin {
		return number <= r.largest || number-begin < r.largest
	}
	sound := number <= r.largest || r.doubted == events.After(number) && r.server != v.ID
	if sound {
		r.begin = events.After(number)
	} else {
		r.doubted, r.server = events.After(number), v.ID
	}
	s.put(k, r)
	return sound
}

func (s *steps) get(k stepKey) stepRecord {
	r, ok := s.records[k]
	if !ok {
		r.largest = 1
	}
	return r
}

// put keeps a record. It may drop another one, so that later streams of those servers are held back for a moment.
func (s *steps) put(k stepKey, r stepRecord) {
	if _, ok := s.records[k]; !ok && len(s.records) == maxStepRecords {
		for other := range s.records {
			delete(s.records, other)
			break
		}
	}
	s.records[k] = r
}
