package quarantine

import (
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/policy/suspicion"
)

const (
	// unreportedTime is how long a loss may wait to be reported before an entry goes by its own losses.
	unreportedTime = time.Second
	// localInterval is the least time between two looks at the losses that wait, runInterval is what each run adds, and
	// unchangedInterval is the least time while none is added: a look at a thousand runs takes tens of milliseconds.
	localInterval     = 100 * time.Millisecond
	runInterval       = time.Millisecond
	unchangedInterval = time.Second
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
	// runs is how many runs waited then.
	runs int
}

// Waiting are the runs at lost servers that wait to be reported.
type Waiting struct {
	// Runs is how many there are.
	Runs int
	// Since is since when the oldest one waits.
	Since time.Time
	// Losses returns them as they are to be reported.
	Losses func() []Lost
}

// Update determines what is quarantined by the losses that wait. It leaves out what the entry's answers refute, and returns
// what hasn't been quarantined before.
func (l *Local) Update(w Waiting, refutes func(suspicion.Fingerprint, suspicion.Period) bool, now time.Time) map[suspicion.Fingerprint]suspicion.Period {
	if !l.due(w, now) {
		return nil
	}
	known, news := l.register, map[suspicion.Fingerprint]suspicion.Period{}
	*l = Local{register: suspicion.NewRegister(), countedAt: now, until: now.Add(settleTime), runs: w.Runs}
	for f, p := range classifyAlone(w.Losses(), now) {
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

// due returns whether the losses are to be counted now.
func (l *Local) due(w Waiting, now time.Time) bool {
	if w.Runs == 0 || now.Sub(w.Since) < unreportedTime {
		if now.After(l.until) {
			*l = Local{}
		}
		return false
	}
	interval := localInterval + time.Duration(w.Runs)*runInterval
	if w.Runs == l.runs {
		interval = max(interval, unchangedInterval)
	}
	return now.Sub(l.countedAt) >= interval
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
