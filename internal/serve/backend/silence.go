package backend

import (
	"errors"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/dial"
)

const (
	// silenceTimeout is how long a server may send nothing on any direct connection before its path
	// is checked.
	silenceTimeout = 300 * time.Millisecond
	// checkInterval is the least interval of the checks of one server.
	checkInterval = time.Second
)

// States of the wait for the head of a response.
const (
	waiting int32 = iota
	answered
	abandoned
)

var errCutOff = errors.New("the path to the server was lost while the response was awaited")

// startWatched is start on a direct connection that may turn out to be cut off.
//
// A sound server may be silent for longer than that, so silence alone ends nothing. Only if a new
// direct connection isn't established either, while another entry reaches the server, is the response
// abandoned, and only if the request may be sent once more.
func (x *Exchange) startWatched(m Message) (bool, error) {
	if x.conn.tunnelled {
		return x.start(m)
	}
	w := &silenceWatch{exchange: x, sentAt: time.Now(), mayRepeat: m.MayRepeat}
	w.schedule(silenceTimeout)
	retry, err := x.start(m)
	w.stopped.Store(true)
	w.timer.Load().Stop()
	if !x.awaited.CompareAndSwap(waiting, answered) {
		return false, &Error{Verdict: verdict.MayHaveRun, Reason: CutOff, Cause: errCutOff}
	}
	return retry, err
}

// silenceWatch checks the path of an exchange whose response doesn't come.
type silenceWatch struct {
	exchange  *Exchange
	sentAt    time.Time
	mayRepeat bool
	timer     atomic.Pointer[time.Timer]
	stopped   atomic.Bool
}

func (w *silenceWatch) schedule(d time.Duration) {
	if !w.stopped.Load() {
		w.timer.Store(time.AfterFunc(d, w.check))
	}
}

func (w *silenceWatch) check() {
	if w.stopped.Load() {
		return
	}
	x, now := w.exchange, time.Now()
	c, t := x.client.config, x.target
	if c.Paths.ReceivedSince(t.Address, now.Add(-silenceTimeout)) {
		w.schedule(silenceTimeout)
		return
	}
	if c.Dialer.Check(t.ID, t.Address, now.Add(-checkInterval)) != dial.Hangs {
		w.schedule(checkInterval)
		return
	}
	if w.stopped.Load() {
		return
	}
	c.Paths.Silent(t.Address, w.sentAt)
	if w.mayRepeat && x.awaited.CompareAndSwap(waiting, abandoned) {
		_ = x.conn.Close()
	}
}
