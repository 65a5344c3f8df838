package membership

import "time"

// peerClock bounds the clock offset of one other entry.
type peerClock struct {
	incarnation uint32
	bound       startBound
}

func (c *peerClock) bounded() bool {
	return !c.bound.since.IsZero()
}

// add records that the peer's clock had the reading at the time made or later.
func (c *peerClock) add(now, made time.Time, s Stamp) {
	if s.Incarnation < c.incarnation {
		return
	}
	if s.Incarnation > c.incarnation {
		*c = peerClock{incarnation: s.Incarnation}
	}
	c.bound.add(now, made, millis(s.Millis))
}

// earliest returns the earliest time at which the peer's clock may have had the reading, and false if there is no bound.
func (c *peerClock) earliest(now time.Time, s Stamp) (time.Time, bool) {
	start, ok := c.bound.start(now)
	if !ok || s.Incarnation != c.incarnation {
		return time.Time{}, false
	}
	made := start.Add(millis(s.Millis))
	if made.After(now) {
		made = now
	}
	return made, true
}
