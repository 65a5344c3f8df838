package backend

import (
	"time"

	"hornbeamwood/internal/base/wait"
)

// arrivedGrace is how long a response that has already arrived may take to be read.
const arrivedGrace = 5 * time.Millisecond

// Timing bounds the time of an exchange.
type Timing struct {
	// Deadline is the end of the exchange.
	Deadline time.Time
	// CheckAt is when Check is called while the exchange waits for the server; zero for never.
	CheckAt time.Time
	// Check returns the time of the next check, or false to end the exchange. It is called by the
	// goroutine that reads the response, with the address of the entry through which the connection
	// leads, empty if it is direct.
	Check func(via string) (time.Time, bool)
}

// CheckAt changes the time of the next check; zero for none.
func (x *Exchange) CheckAt(t time.Time) {
	at := x.timing.Deadline
	if !t.IsZero() && x.timing.Check != nil {
		at = wait.Earlier(at, t)
	}
	x.overdue = false
	// A connection on which no deadline can be set is closed; the next read returns the error.
	_ = x.conn.SetReadDeadline(at)
}

// EndBy ends the exchange at the given time at the latest, without further checks.
func (x *Exchange) EndBy(t time.Time) {
	x.timing.Deadline, x.timing.Check = wait.Earlier(x.timing.Deadline, t), nil
	x.CheckAt(time.Time{})
}

// continues makes the check whose time has come and returns whether the exchange continues.
//
// In a process that was suspended the time of the check has passed although the response has
// arrived, so what has arrived is read first.
func (x *Exchange) continues() bool {
	now := time.Now()
	if x.timing.Check == nil || !now.Before(x.timing.Deadline) {
		return false
	}
	if !x.overdue {
		x.overdue = true
		_ = x.conn.SetReadDeadline(now.Add(arrivedGrace))
		return true
	}
	next, ok := x.timing.Check(x.Via())
	if ok {
		x.CheckAt(next)
	}
	return ok
}
