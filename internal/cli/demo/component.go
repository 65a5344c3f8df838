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
	c := &component{name: name, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(c.ended)
		c.err = f(ctx)
	}()
	return c
}

// stop stops the component gracefully and waits for it.
func (c *component) stop() error {
	c.cancel(nil)
	<-c.ended
	return c.err
}

// crash ends a stand-in abruptly in the middle of its work.
func (c *component) crash() {
	c.cancel(process.ErrCrashed)
	<-c.ended
}
