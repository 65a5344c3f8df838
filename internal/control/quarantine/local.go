package quarantine

import (
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/policy/suspicion"
)

const (
	// unreportedTime is how long a loss may wait to be reported before an entry goes by its own losses.
	unreportedTime = time.Second
	// localInterval is the least time between two looks at the losses that wait.
	localInterval = 100 * time.Millisecond
	// settleTime is for how long after its losses were reported an entry still goes by them, until it is told more.
	settleTime = 2 * time.Second
	// localRetry is how long callers are told not to send a request again. The control log is mostly back by then.
	localRetry = 30 * time.Second
)

// Local holds what an entry quarantines by its own losses while the control log takes no reports. Without it, a request
// or a part that crashes servers would end all of them meanwhile. The zero value quarantines nothing. It is not safe for
// concurrent use.
type Local struct {
	// register holds the quarantined attributes; nil for none.
	register *suspicion.Register
	// countedAt is when they were last determined, and until is when they are forgotten.
	countedAt, until time.Time
}

// Update determines what is quarantined by the losses that wait to be reported, the oldest of them from that time, zero if
// none waits. It leaves out what the entry's answers refute, and returns what hasn't been quarantined before.
func (l *Local) Update(oldest time.Time, losses func() []Lost, refutes func(suspicion.Fingerprint, suspicion.Period) bool, now time.Time) map[suspicion.Fingerprint]suspicion.Period {
	if !l.due(oldest, now) {
		return nil
	}
	return l.count(losses(), refutes, now)
}

// due returns whether the losses are to be counted now.
func (l *Local) due(oldest, now time.Time) bool {
	if oldest.IsZero() || now.Sub(oldest) < unreportedTime {
		if now.After(l.until) {
			*l = Local{}
		}
		return false
	}
	return now.Sub(l.countedAt) >= localInterval
}

func (l *Local) count(losses []Lost, refutes func(suspicion.Fingerprint, suspicion.Period) bool, now time.Time) map[suspicion.Fingerprint]suspicion.Period {
	known, news := l.register, map[suspicion.Fingerprint]suspicion.Period{}
	*l = Local{register: suspicion.NewRegister(), countedAt: now, until: now.Add(settleTime)}
	for f, p := range classifyAlone(losses, now) {
		if !p.Quarantined || refutes(f, p) {
			continue
		}
		p.ProbeAfter, p.Release = 0, now.Add(localRetry).UnixMilli()
		l.register.Apply(f, p, now)
		if known == nil || !known.Knows(f) {
			news[f] = p
		}
	}
	return news
}

// classifyAlone returns the quarantine by these losses alone.
func classifyAlone(losses []Lost, now time.Time) map[suspicion.Fingerprint]suspicion.Period {
	for i := range losses {
		// No other entry is told, so there is nobody whose answers to wait for.
		losses[i].Delay = 0
	}
	body, err := codec.Marshal(Command{Losses: losses})
	if err != nil || len(losses) == 0 {
		return nil
	}
	s := New(Config{})
	s.Apply(now, body)
	return s.Periods()
}

// Match returns the attribute for which a request of the workspace is refused, and false if it may be sent.
func (l *Local) Match(workspace string, a suspicion.Attributes, now time.Time) (suspicion.Match, bool) {
	if l.register == nil {
		return suspicion.Match{}, false
	}
	return l.register.Match(workspace, a, now)
}
