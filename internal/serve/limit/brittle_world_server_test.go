package limit

import (
	"time"

	"hornbeamwood/internal/serve/request"
)

// arriveAt has the server run, queue or reject the request.
func (w *brittleWorld) arriveAt(x *simulatedServer, c *simulatedCall, server int) {
	room := w.room
	if w.breaking() {
		room = w.shrunk
	}
	switch {
	case x.running < w.slots:
		w.run(x, c, server)
	case x.waiting < room:
		x.waiting++
		x.queue = append(x.queue, c)
	default:
		w.reject(x, c, server)
	}
}

func (w *brittleWorld) run(x *simulatedServer, c *simulatedCall, server int) {
	x.running++
	began := x.start
	w.after(time.Duration((0.5+w.random.Float64())*float64(w.work)), func() {
		lost, state := x.start != began, *x
		w.afterTransit(func() {
			w.entries[c.entry].inFlight[server]--
			w.leave(c, server)
			if lost {
				w.retry(c)
				return
			}
			if c.arrived > calmTime+loadStep && w.now-c.arrived < w.callerTime() {
				w.served++
			}
			w.respond(&state, c, server, false)
		})
		if lost {
			return
		}
		x.running--
		if len(x.queue) > 0 {
			next := x.queue[0]
			x.queue = x.queue[1:]
			x.waiting--
			w.run(x, next, server)
		}
	})
}

func (w *brittleWorld) reject(x *simulatedServer, c *simulatedCall, server int) {
	state := *x
	w.afterTransit(func() {
		w.entries[c.entry].inFlight[server]--
		w.leave(c, server)
		w.respond(&state, c, server, true)
		w.tryAgain(c)
	})
	if w.breaking() {
		w.rejected++
		x.rejections = append(x.rejections, w.now)
		for w.now-x.rejections[0] >= time.Second {
			x.rejections = x.rejections[1:]
		}
		if float64(len(x.rejections)) > w.tolerated {
			w.fall(x)
		}
	}
}

func (w *brittleWorld) fall(x *simulatedServer) {
	x.falls++
	x.start++
	x.downUntil, x.rejections = w.now+downTime, nil
	for _, c := range x.queue {
		w.entries[c.entry].inFlight[x.index]--
		w.leave(c, x.index)
		w.retry(c)
	}
	x.queue, x.running, x.waiting = nil, 0, 0
}

func (w *brittleWorld) respond(x *simulatedServer, c *simulatedCall, server int, rejected bool) {
	e := w.entries[c.entry]
	o := Observation{Server: x.id, Service: "service", Slots: w.slots, Rejected: rejected, Sent: start.Add(c.sent)}
	if !w.silent {
		o.Load = &request.Load{Running: x.running, Waiting: x.waiting, Slots: w.slots}
		e.load[server] = float64(x.running+x.waiting) / float64(w.slots)
	}
	if w.now > calmTime && !w.unnoticed {
		o.Tolerated = &w.tolerated
	}
	e.limits.ObserveBrittle(o, w.time())
}
