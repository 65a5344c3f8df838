package events

import "strconv"

// Position is a place in a stream: after the event of a number, or before its first event. The zero value is before the
// first event.
type Position struct {
	number int64
	after  bool
}

// After returns the position after the event with the number.
func After(number int64) Position {
	return Position{number: number, after: true}
}

// Event returns the number of the event before the position, and false before the first event.
func (p Position) Event() (int64, bool) {
	return p.number, p.after
}

// Or returns the position, or the other one if the position is before the first event.
func (p Position) Or(other Position) Position {
	if p.after {
		return p
	}
	return other
}

// String returns the number of the event before the position, empty before the first event.
func (p Position) String() string {
	if !p.after {
		return ""
	}
	return strconv.FormatInt(p.number, 10)
}
