package siteentry

import (
	"context"
	"time"

	"hornbeamwood/internal/policy/overload"
)

// overloaded is the reason of a refusal of connections while the process gets too little processor time.
const overloaded = "overloaded"

// gate decides whether connections of callers are accepted. A load balancer may hand nearly all new ones to one entry.
type gate struct {
	detector overload.Detector
}

func newGate() *gate {
	return &gate{detector: overload.New()}
}

// refuses returns why a new connection isn't accepted, empty if it is.
func (g *gate) refuses() string {
	if g.detector.Overloaded() {
		return overloaded
	}
	return ""
}

// run observes the lateness of wake-ups until ctx ends.
func (g *gate) run(ctx context.Context) {
	t := time.NewTimer(overload.Interval)
	defer t.Stop()
	due := time.Now().Add(overload.Interval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		g.detector.Observe(now.Sub(due), now)
		due = now.Add(overload.Interval)
		t.Reset(overload.Interval)
	}
}
