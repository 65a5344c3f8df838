package suspicion

import "time"

const (
	// maxAnswers is how many answered attributes are remembered at least.
	maxAnswers = 4096
	// soundAnswers is for how many further answers one shows that an attribute doesn't end servers. Counted in answers
	// because no time says anything while servers answer nothing at all.
	soundAnswers = 256
)

// answer is the last answer to a request with an attribute.
type answer struct {
	at time.Time
	// number counts the answers of this process.
	number int
}

// answers remembers when requests with an attribute were last answered. It forgets the older half of them at a time.
type answers struct {
	recent, older map[Fingerprint]answer
	count         int
}

func newAnswers() answers {
	return answers{recent: map[Fingerprint]answer{}}
}

// record records an answer to a request with these attributes.
func (a *answers) record(all Attributes, now time.Time) {
	a.count++
	for f := range all.all {
		if len(a.recent) >= maxAnswers {
			a.older, a.recent = a.recent, map[Fingerprint]answer{}
		}
		a.recent[f] = answer{now, a.count}
	}
}

func (a *answers) last(f Fingerprint) (answer, bool) {
	last, ok := a.recent[f]
	if !ok {
		last, ok = a.older[f]
	}
	return last, ok
}

// since returns whether a request with the attribute was answered after the given time.
func (a *answers) since(f Fingerprint, at time.Time) bool {
	last, ok := a.last(f)
	return ok && last.at.After(at)
}

// sound returns whether a request with the attribute is among those that were answered last.
func (a *answers) sound(f Fingerprint) bool {
	last, ok := a.last(f)
	return ok && a.count-last.number < soundAnswers
}
