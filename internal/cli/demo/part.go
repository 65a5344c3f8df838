package demo

import (
	"context"

	"hornbeamwood/internal/standin/process"
)

// part is one process's worth of the deployment, run as goroutines.
type part struct {
	name   string
	cancel context.CancelCauseFunc
	ended  chan struct{}
	err    error
}

// startPart runs f until it is stopped.
func startPart(name string, f func(ctx context.Context) error) *part {
	ctx, cancel := context.WithCancelCause(context.Background())
	p := &part{name: name, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.err = f(ctx)
	}()
	return p
}

// stop ends the part gracefully and waits for it.
func (p *part) stop() error {
	p.cancel(nil)
	<-p.ended
	return p.err
}

// lose makes a stand-in vanish in the middle of its work.
func (p *part) lose() {
	p.cancel(process.ErrLost)
	<-p.ended
}
