package replica

import "sync"

// queue is an unbounded queue between goroutines; push never blocks.
type queue[T any] struct {
	mu       sync.Mutex
	nonEmpty *sync.Cond
	values   []T
	closed   bool
}

func newQueue[T any]() *queue[T] {
	q := &queue[T]{}
	q.nonEmpty = sync.NewCond(&q.mu)
	return q
}

func (q *queue[T]) push(v T) {
	q.mu.Lock()
	q.values = append(q.values, v)
	q.mu.Unlock()
	q.nonEmpty.Signal()
}

// close makes pop return false once the queue is empty.
func (q *queue[T]) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.nonEmpty.Broadcast()
}

// pop waits for values and returns all queued ones, or false once the queue is closed and empty.
func (q *queue[T]) pop() ([]T, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.values) == 0 && !q.closed {
		q.nonEmpty.Wait()
	}
	values := q.values
	q.values = nil
	return values, len(values) > 0
}

// take returns all queued values without waiting.
func (q *queue[T]) take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	values := q.values
	q.values = nil
	return values
}
