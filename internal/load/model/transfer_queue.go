package model

import "time"

// transferQueue is a link or disk that performs transfers one after the other.
type transferQueue struct {
	clock       *clock
	rate        float64 // bytes per second
	queue       []transfer
	active      bool
	queued      int64
	transferred int64
	busy        time.Duration
}

type transfer struct {
	bytes int64
	done  func()
}

// send queues a transfer; done runs when it is complete.
func (q *transferQueue) send(bytes int64, done func()) {
	q.queue = append(q.queue, transfer{bytes: bytes, done: done})
	q.queued += bytes
	if !q.active {
		q.next()
	}
}

func (q *transferQueue) next() {
	if len(q.queue) == 0 {
		q.active = false
		return
	}
	q.active = true
	t := q.queue[0]
	q.queue = q.queue[1:]
	d := fromSeconds(float64(t.bytes) / q.rate)
	q.clock.after(d, func() {
		q.busy += d
		q.transferred += t.bytes
		q.queued -= t.bytes
		t.done()
		q.next()
	})
}
