package quarantine

import (
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// maxAnswers is how many answered requests are remembered at least.
const maxAnswers = 1024

// answers remembers when requests were last answered. It forgets the older half of them at a time.
type answers struct {
	recent, older map[suspicion.Fingerprint]time.Time
}

func newAnswers() answers {
	return answers{recent: map[suspicion.Fingerprint]time.Time{}}
}

func (a *answers) record(f suspicion.Fingerprint, now time.Time) {
	if len(a.recent) >= maxAnswers {
		a.older, a.recent = a.recent, map[suspicion.Fingerprint]time.Time{}
	}
	a.recent[f] = now
}

// since returns whether the request was answered after the given time.
func (a *answers) since(f suspicion.Fingerprint, at time.Time) bool {
	last, ok := a.recent[f]
	if !ok {
		last, ok = a.older[f]
	}
	return ok && last.After(at)
}
