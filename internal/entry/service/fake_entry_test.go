package service

import (
	"context"
	"errors"
	"sync"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/ledger"
)

// step is the step at which an entry stops, until it is resumed if ever.
type step int

const (
	stepNone step = iota
	stepBeforeClaim
	stepAfterClaim
	stepBeforeDispatch
	stepBeforeOutcome
	stepAfterOutcome
	stepCount
)

var errDead = errors.New("the process was terminated")

// fakeEntry is one entry process whose log and picker block from a step on.
type fakeEntry struct {
	Client
	log     *fakeLog
	picker  Picker
	stop    step
	stopped chan struct{}
	resume  chan struct{}
	end     chan struct{}
	once    sync.Once
}

// claimTimeout makes every second entry look up a claim immediately; the others
// propose it again first.
func claimTimeout(incarnation uint64) time.Duration {
	if incarnation%2 == 0 {
		return time.Nanosecond
	}
	return time.Second
}

func newFakeEntry(log *fakeLog, p Picker, name string, next func() uint64, stop step, end chan struct{}) *fakeEntry {
	e := &fakeEntry{log: log, picker: p, stop: stop, stopped: make(chan struct{}), resume: make(chan struct{}), end: end}
	incarnation := next()
	e.Client = New(Config{
		ClaimTimeout: claimTimeout(incarnation),
		Log:          e, Picker: e, Budget: always{}, Entry: name, Incarnation: incarnation,
		NewIncarnation: next, Wait: e.wait, OutcomeWait: 300 * time.Millisecond, DispatchTimeout: 20 * time.Second,
	})
	return e
}

// always is an unlimited budget.
type always struct{}

func (always) Retry(string) bool { return true }

// halt stops the process if s is its step; a resumed process continues.
func (e *fakeEntry) halt(s step) error {
	if s == e.stop {
		e.once.Do(func() { close(e.stopped) })
	}
	return e.alive()
}

// alive blocks while the process is stopped.
func (e *fakeEntry) alive() error {
	select {
	case <-e.stopped:
	default:
		return nil
	}
	select {
	case <-e.resume:
		return nil
	case <-e.end:
		return errDead
	}
}

// isStopped reports whether the process has stopped and was not resumed.
func (e *fakeEntry) isStopped() bool {
	select {
	case <-e.stopped:
	default:
		return false
	}
	select {
	case <-e.resume:
		return false
	default:
		return true
	}
}

func (e *fakeEntry) Propose(ctx context.Context, section string, body []byte) ([]byte, error) {
	c, err := codec.Unmarshal[ledger.Command](body)
	if err != nil {
		return nil, err
	}
	before, after := stepNone, stepNone
	switch {
	case c.Claim != nil:
		before, after = stepBeforeClaim, stepAfterClaim
	case c.Outcome != nil:
		before, after = stepBeforeOutcome, stepAfterOutcome
	}
	if before != stepNone {
		err = e.halt(before)
	} else {
		err = e.alive()
	}
	if err != nil {
		return nil, err
	}
	b, err := e.log.Propose(ctx, section, body)
	if after == stepNone {
		return b, err
	}
	return b, errors.Join(err, e.halt(after))
}

func (e *fakeEntry) Read(ctx context.Context, section string, body []byte) ([]byte, error) {
	if err := e.alive(); err != nil {
		return nil, err
	}
	return e.log.Read(ctx, section, body)
}

func (e *fakeEntry) Pick(ctx context.Context, r Request, excluded []string) (Server, error) {
	if err := e.halt(stepBeforeDispatch); err != nil {
		return Server{}, err
	}
	return e.picker.Pick(ctx, r, excluded)
}

func (e *fakeEntry) wait(ctx context.Context, _ time.Duration) error {
	if err := e.alive(); err != nil {
		return err
	}
	return wait(ctx, time.Millisecond)
}

// send returns the caller's reply, or nil if the process stopped before it answered.
func (e *fakeEntry) send(r Request) *reply {
	replies := make(chan reply, 1)
	go func() {
		a, err := e.Call(context.Background(), r)
		replies <- reply{answer: a, err: err}
	}()
	select {
	case p := <-replies:
		return &p
	case <-e.stopped:
		return nil
	}
}
