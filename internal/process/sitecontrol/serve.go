package sitecontrol

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/node/tcp"
	"hornbeamwood/internal/process/platform"
)

// headerTimeout bounds how long a request's headers may take.
const headerTimeout = 3 * time.Second

// answerTimeout bounds the time in which calls are answered whose replica has stopped.
const answerTimeout = 300 * time.Millisecond

// serve starts the listeners for operators and servers and, if configured, for metrics.
func (p *process) serve(ctx context.Context) error {
	if err := p.listen(ctx, p.config.Host.Listen, p.config.Handler(p)); err != nil {
		return err
	}
	if p.config.Host.Metrics == "" {
		return nil
	}
	return p.listen(ctx, p.config.Host.Metrics, platform.New(platform.Config{Ready: p.ready, Metrics: p.metrics}))
}

func (p *process) listen(ctx context.Context, address string, h http.Handler) error {
	l, err := tcp.Listen(ctx, address, 0)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	p.loops.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			event.ReplicaFailed.Write(p.config.Logger, log.Fields{"replica": address, "error": err.Error()})
		}
	})
	p.loops.Go(func() {
		<-ctx.Done()
		answering, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
		defer cancel()
		if s.Shutdown(answering) != nil {
			// The remaining calls wait for answers that this process can no longer give.
			_ = s.Close()
		}
	})
	return nil
}

func (p *process) ready() error {
	if s := p.replica.Status(); !s.CaughtUp {
		return fmt.Errorf("the replica is %s and has not caught up", s.Role)
	}
	if p.follower.Blind() {
		return errors.New("the answers of the other replicas can't be read")
	}
	return nil
}
