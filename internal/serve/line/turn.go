package line

import "time"

// TurnPause is how long a waiter rests that left room to others: until it hears what they took.
const TurnPause = 40 * time.Millisecond

// Turn returns whether a waiter takes room of which all entries hear at the same
// moment: at so many engines, with so many waiters at all entries. random is
// drawn evenly from 0 to 1.
//
// If each took it, most would wait at those engines behind the others, while the
// next engines get room. So as many go as there is room for, and the others look
// again once they know what was taken.
func Turn(rooms float64, waiting int, random float64) bool {
	return random*float64(waiting) < rooms
}
