package model

import "time"

// pipe is a link or disk that serves transfers one after the other.
type pipe struct {
	clock  *clock
	rate   float64 // bytes a second
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

// send queues a transfer; done runs at its end.
func (p *pipe) send(bytes int64, done func()) {
	p.queue = append(p.queue, transfer{bytes: bytes, done: done})
	p.queued += bytes
	if !p.active {
		p.next()
	}
}

func (p *pipe) next() {
	if len(p.queue) == 0 {
		p.active = false
		return
	}
	p.active = true
	t := p.queue[0]
	p.queue = p.queue[1:]
	d := span(float64(t.bytes) / p.rate)
	p.clock.after(d, func() {
		p.busy += d
		p.moved += t.bytes
		p.queued -= t.bytes
		t.done()
		p.next()
	})
}
