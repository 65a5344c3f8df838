package model

import "hornbeamwood/internal/policy/fairness"

// waitQueue holds the requests of one priority band that wait at an entry.
type waitQueue struct {
	waiting fairness.Queue[*request]
	head    *request // popped but not sent yet
}

// next sets head to the next request whose caller is still waiting and returns whether there is
// one.
func (w *waitQueue) next() bool {
	for w.head == nil || w.head.outcome != open {
		i, ok := w.waiting.Pop()
		if !ok {
			w.head = nil
			return false
		}
		w.head = i.Value
	}
	return true
}
