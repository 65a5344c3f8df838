package membership

import "time"

const (
	// streakLength and streakTime are the number of direct announcements that must agree, and the time that they must span.
	streakLength = 5
	streakTime   = 4 * time.Second
	// streakSpread is the maximum difference between the start times that they imply.
	streakSpread = 300 * time.Millisecond
)

// streak detects consecutive direct announcements that agree on when the server started.
//
// A server VM that was paused resumes with an uptime that lags. Each of its
// announcements then looks delayed, and gossip keeps renewing the old bound of
// its start, so that no entry would ever make it eligible again. Announcements
// that are really delayed imply a different start each time, because a backlog
// arrives at once and delays vary.
type streak struct {
	first time.Time
	start time.Time
	least time.Time
	count int
}

// add records the start implied by an announcement. It returns the earliest start of the streak once the streak is long enough.
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
