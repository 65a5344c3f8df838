package membership

import "time"

// peerClock is what is proved of the clock of one other entry.
type peerClock struct {
	incarnation uint32
	proof       proof
}

func (c *peerClock) proved() bool {
	return !c.proof.since.IsZero()
}

// add takes in that the peer's clock had the reading at made or later.
func (c *peerClock) add(now, made time.Time, s Stamp) {
	if s.Incarnation < c.incarnation {
		return
	}
	if s.Incarnation > c.incarnation {
		*c = peerClock{incarnation: s.Incarnation}
	}
	c.proof.add(now, made, millis(s.Millis))
}

// made returns the earliest time at which the peer's clock may have had the reading, and false when nothing is proved of it.
func (c *peerClock) made(now time.Time, s Stamp) (time.Time, bool) {
	start, ok := c.proof.start(now)
	if !ok || s.Incarnation != c.incarnation {
		return time.Time{}, false
	}
	made := start.Add(millis(s.Millis))
	if made.After(now) {
		made = now
	}
	return made, true
}
