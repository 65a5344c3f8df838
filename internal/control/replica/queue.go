package replica

import "sync"

// queue hands values from one goroutine to another without ever blocking the first.
type queue[T any] struct {
	mu     sync.Mutex
	filled *sync.Cond
	values []T
	closed bool
}

func newQueue[T any]() *queue[T] {
	q := &queue[T]{}
	q.filled = sync.NewCond(&q.mu)
	return q
}

func (q *queue[T]) push(v T) {
	q.mu.Lock()
	q.values = append(q.values, v)
	q.mu.Unlock()
	q.filled.Signal()
}

// close lets pop return false once everything pushed before is taken.
func (q *queue[T]) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.filled.Broadcast()
}

// pop waits for values and returns all that there are, false when there will be none.
func (q *queue[T]) pop() ([]T, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.values) == 0 && !q.closed {
		q.filled.Wait()
	}
	values := q.values
	q.values = nil
	return values, len(values) > 0
}

// take returns what there is without waiting.
func (q *queue[T]) take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	values := q.values
	q.values = nil
	return values
}
