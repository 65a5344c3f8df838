package model

import (
	"container/heap"
	"time"
)

// origin is the start of virtual time.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a discrete-event scheduler: it runs functions in the order of their virtual times.
type clock struct {
	now    time.Duration
	count  uint64
	timers timers
}

type timer struct {
	at    time.Duration
	order uint64
	run   func()
}

type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].order < t[j].order
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

// time returns the virtual time as a time.Time, as the decisions expect it.
func (c *clock) time() time.Time {
	return origin.Add(c.now)
}

// after runs f once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.at(c.now+max(d, 0), f)
}

func (c *clock) at(t time.Duration, f func()) {
	c.count++
	heap.Push(&c.timers, timer{at: t, order: c.count, run: f})
}

// every runs f at intervals of d until end.
func (c *clock) every(d, end time.Duration, f func()) {
	var next func()
	next = func() {
		f()
		if c.now+d <= end {
			c.after(d, next)
		}
	}
	c.after(d, next)
}

// runUntil runs everything that is due by end and advances the clock to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= end {
		t := heap.Pop(&c.timers).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

// fromSeconds converts seconds to a time.Duration.
func fromSeconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
