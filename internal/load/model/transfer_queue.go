package model

import "time"

// transferQueue is a link or disk that performs transfers one after the other.
type transferQueue struct {
	clock  *clock
	rate   float64 // bytes per second
	queue  []transfer
	active bool
	queued int64
	moved  int64
	busy   time.Duration
}

type transfer struct {
	bytes int64
	done  func()
}

// send queues a transfer; done runs when it is complete.
func (p *transferQueue) send(bytes int64, done func()) {
	p.queue = append(p.queue, transfer{bytes: bytes, done: done})
	p.queued += bytes
	if !p.active {
		p.next()
	}
}

func (p *transferQueue) next() {
	if len(p.queue) == 0 {
		p.active = false
		return
	}
	p.active = true
	t := p.queue[0]
	p.queue = p.queue[1:]
	d := fromSeconds(float64(t.bytes) / p.rate)
	p.clock.after(d, func() {
		p.busy += d
		p.moved += t.bytes
		p.queued -= t.bytes
		t.done()
		p.next()
	})
}
