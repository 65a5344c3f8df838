package model

import "hornbeamwood/internal/policy/fairness"

// waitQueue holds the requests of one priority band that wait at an entry.
type waitQueue struct {
	waiting fairness.Queue[*request]
	head    *request // popped but not sent yet
}

// next sets head to the next request whose caller is still waiting and returns whether there is
// one.
func (l *waitQueue) next() bool {
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
