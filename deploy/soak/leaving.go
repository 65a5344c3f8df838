package main

import (
	"sync"
	"time"
)

// leaving holds which entries have passed on a response in which a server says that it leaves.
// drainBound after that the server gets no requests from that entry, unless the entry got a signal
// since.
type leaving struct {
	record *record
	limits *limits

	mu         sync.Mutex
	passedOnAt map[entryLimit]time.Time
}

func newLeaving(r *record, l *limits) *leaving {
	return &leaving{record: r, limits: l, passedOnAt: map[entryLimit]time.Time{}}
}

// recordPassedOn records that a caller got an answer to the attempt in which the server leaves.
func (l *leaving) recordPassedOn(attempt, server string) {
	e := l.limits.entry(attempt)
	if e == nil || server == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at := entryLimit{e, server}
	if before, ok := l.passedOnAt[at]; !ok || before.Before(e.lastChange()) {
		l.passedOnAt[at] = time.Now()
	}
}

// recordRequest checks that the entry of the attempt doesn't know that the server leaves, and
// returns whether it does.
func (l *leaving) recordRequest(attempt string, s *server) bool {
	e := l.limits.entry(attempt)
	l.mu.Lock()
	at, ok := l.passedOnAt[entryLimit{e, s.id}]
	l.mu.Unlock()
	if ok && e != nil && at.After(e.lastChange()) && time.Since(at) > drainBound {
		l.record.reportViolation("%s reached %s %s after an answer of it had said that it leaves", attempt, s.id, time.Since(at))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaves
}
