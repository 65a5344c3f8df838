package waitqueue

import "time"

// AdmitBackoff is how long a waiter sleeps after Admit left the capacity to others.
const AdmitBackoff = 40 * time.Millisecond

// Admit returns whether a waiter takes capacity that all entries see at the same moment. free
// is the number of tokens free at all engines, wanted the tokens of all waiters of at least
// the same urgency, since the time since the waiter's last attempt, and delay the propagation
// delay of load reports. random is uniformly distributed between 0 and 1.
//
// If every waiter took the capacity, most would queue at those engines behind each other while
// the next engines free theirs. Therefore only about as many are admitted as fit. Capacity
// that was taken still looks free until the load report arrives, and a waiter tries several
// times in between; all attempts within that time together take the capacity once.
func Admit(free, wanted int, since, delay time.Duration, random float64) bool {
	fraction := 1.0
	if delay > since {
		fraction = float64(since) / float64(delay)
	}
	return random*float64(wanted) <= fraction*float64(free)
}
