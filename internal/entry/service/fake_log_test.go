package service

import (
	"context"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/ledger"
	"hornbeamwood/internal/control/state"
)

// fault is how the fake log handles one proposal.
type fault int

const (
	faultNone fault = iota
	// faultRefused means that there is no leader and the command is not appended.
	faultRefused
	// faultLostAnswer means that the command is committed and its answer is lost.
	faultLostAnswer
	// faultLate means that the answer is lost and the command is committed later.
	faultLate
	// faultDropped means that the answer is lost and the command is never committed, as when the leader loses leadership.
	faultDropped
)

// fakeLog is a single-replica control log that can lose answers.
type fakeLog struct {
	mu      sync.Mutex
	section state.Section
	at      time.Time
	faults  func(ledger.Command) fault
	late    [][]byte
	reads   func() error
	after   func(ledger.Command)
}

func newFakeLog() *fakeLog {
	return &fakeLog{section: ledger.New(), at: time.Unix(1_800_000_000, 0)}
}

var (
	errNoLeader = verdict.New(verdict.NotRun, 503, "no-leader", "no leader")
	errUnknown  = verdict.New(verdict.MayHaveRun, 503, "commit-unknown", "the commit is unknown")
)

func (l *fakeLog) Propose(ctx context.Context, _ string, body []byte) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, errNoLeader
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c, err := codec.Unmarshal[ledger.Command](body)
	if err != nil {
		return nil, err
	}
	f := faultNone
	if l.faults != nil {
		f = l.faults(c)
	}
	switch f {
	case faultRefused:
		return nil, errNoLeader
	case faultDropped:
		return nil, errUnknown
	case faultLate:
		l.late = append(l.late, body)
		return nil, errUnknown
	}
	l.at = l.at.Add(time.Millisecond)
	b := l.section.Apply(l.at, body)
	if l.after != nil {
		l.after(c)
	}
	if f == faultLostAnswer {
		return nil, errUnknown
	}
	return b, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, body []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reads != nil {
		if err := l.reads(); err != nil {
			return nil, err
		}
	}
	return l.section.Query(body)
}

// deliverLate commits the delayed commands.
func (l *fakeLog) deliverLate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.late {
		l.section.Apply(l.at, b)
	}
	l.late = nil
}

func (l *fakeLog) apply(t testing.TB, c ledger.Command) ledger.Result {
	t.Helper()
	b, err := codec.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r, err := codec.Unmarshal[ledger.Result](l.section.Apply(l.at, b))
	if err != nil {
		t.Fatal(err)
	}
	return r
}
