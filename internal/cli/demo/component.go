package demo

import (
	"context"

	"hornbeamwood/internal/standin/process"
)

// component is one process of the deployment, run as goroutines.
type component struct {
	name   string
	cancel context.CancelCauseFunc
	ended  chan struct{}
	err    error
}

// startComponent runs f until the component is stopped.
func startComponent(name string, f func(ctx context.Context) error) *component {
	ctx, cancel := context.WithCancelCause(context.Background())
	p := &component{name: name, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.err = f(ctx)
	}()
	return p
}

// stop stops the component gracefully and waits for it.
func (p *component) stop() error {
	p.cancel(nil)
	<-p.ended
	return p.err
}

// crash ends a stand-in abruptly in the middle of its work.
func (p *component) crash() {
	p.cancel(process.ErrCrashed)
	<-p.ended
}
