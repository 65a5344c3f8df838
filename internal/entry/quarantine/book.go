package quarantine

import (
	"time"

	"hornbeamwood/internal/entry/completion"
	"hornbeamwood/internal/policy/suspicion"
)

// startTime is how long a request that holds a slot may take to be dispatched;
// one that was refused in between would otherwise keep the slot for its lease.
const startTime = 5 * time.Second

// slot is a suspect's right to run, held by this entry.
type slot struct {
	attempt string
	taken   time.Time
}

// book is what runs in this entry.
type book struct {
	// slots are the attempts by which suspects hold their slots.
	slots map[completion.Fingerprint]slot
	// running counts a fingerprint's runs by server.
	running map[completion.Fingerprint]map[string]int
	// suspects counts the running suspects by server.
	suspects map[string]int
}

func newBook() book {
	return book{
		slots:    map[completion.Fingerprint]slot{},
		running:  map[completion.Fingerprint]map[string]int{},
		suspects: map[string]int{},
	}
}

// take returns the attempt for a suspect's slot, and false when this entry runs it already.
func (b *book) take(now time.Time, f completion.Fingerprint, s suspicion.Standing, newAttempt func() string) (string, bool) {
	if s != suspicion.Suspect {
		return "", false
	}
	held, ok := b.slots[f]
	if ok && (len(b.running[f]) > 0 || now.Sub(held.taken) < startTime) {
		return "", false
	}
	if !ok {
		held.attempt = newAttempt()
	}
	held.taken = now
	b.slots[f] = held
	return held.attempt, true
}

// drop takes back what take noted, when the log didn't grant the slot.
func (b *book) drop(f completion.Fingerprint, attempt string) {
	if b.slots[f].attempt == attempt {
		delete(b.slots, f)
	}
}

func (b *book) start(f completion.Fingerprint, server string) {
	if b.running[f] == nil {
		b.running[f] = map[string]int{}
	}
	b.running[f][server]++
	if _, held := b.slots[f]; held {
		b.suspects[server]++
	}
}

// end takes out one run and returns the slot that it gives back, when it held one.
func (b *book) end(f completion.Fingerprint, server string) (string, bool) {
	if b.running[f][server]--; b.running[f][server] <= 0 {
		delete(b.running[f], server)
	}
	if len(b.running[f]) == 0 {
		delete(b.running, f)
	}
	held, ok := b.slots[f]
	if !ok {
		return "", false
	}
	delete(b.slots, f)
	if b.suspects[server]--; b.suspects[server] <= 0 {
		delete(b.suspects, server)
	}
	return held.attempt, true
}
