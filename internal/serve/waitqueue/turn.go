package waitqueue

import "time"

// AdmitBackoff is how long a waiter rests that left room to others.
const AdmitBackoff = 40 * time.Millisecond

// Admit returns whether a waiter takes room of which all entries hear at the same
// moment: so many tokens at all engines, when those that are as urgent want so many,
// it last looked that long ago and news of what was taken takes lag. random is drawn
// evenly from 0 to 1.
//
// If each took it, most would wait at those engines behind the others, while the
// next engines get room. So as many go as there is room for. Room that was taken
// is seen as free until the news of it has come, and a waiter looks several times
// meanwhile: all looks of that time together take the room once.
func Admit(free, wanted int, since, lag time.Duration, random float64) bool {
	share := 1.0
	if lag > since {
		share = float64(since) / float64(lag)
	}
	return random*float64(wanted) <= share*float64(free)
}
