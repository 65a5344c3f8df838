package model

import "hornbeamwood/internal/policy/fairness"

// line holds the requests of one priority band that wait at an entry.
type line struct {
	waiting fairness.Queue[*request]
	head    *request // popped and not sent yet
}

// next makes sure that head is a request whose caller still waits, if there is one.
func (l *line) next() bool {
	for l.head == nil || l.head.outcome != open {
		i, ok := l.waiting.Pop()
		if !ok {
			l.head = nil
			return false
		}
		l.head = i.Value
	}
	return true
}
