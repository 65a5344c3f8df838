package membership

import "time"

const (
	// streakLength and streakTime say how many direct announcements over what time must agree.
	streakLength = 5
	streakTime   = 4 * time.Second
	// streakSpread is how far the starts that they show may differ.
	streakSpread = 300 * time.Millisecond
)

// streak finds direct announcements in a row that agree on when the server started.
//
// A server VM that was paused comes back with an uptime that lags. Each of its
// announcements then looks late, and entries go on proving the old start to
// each other, so that no entry would ever give it work again. What is really
// late shows another start each time: a backlog comes at once, and delays vary.
type streak struct {
	first time.Time
	start time.Time
	least time.Time
	count int
}

// add takes in the start that an announcement shows and returns the least one of the streak once it is long enough.
func (s *streak) add(now, start time.Time) (time.Time, bool) {
	if s.count == 0 || start.Sub(s.start).Abs() > streakSpread {
		*s = streak{first: now, start: start, least: start, count: 1}
		return time.Time{}, false
	}
	s.count++
	if start.Before(s.least) {
		s.least = start
	}
	return s.least, s.count >= streakLength && now.Sub(s.first) >= streakTime
}
