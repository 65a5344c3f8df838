package sitecontrol

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/node/inbound"
	"hornbeamwood/internal/node/tcp"
	"hornbeamwood/internal/process/platform"
)

const (
	// headerTimeout bounds the time for a head of operators and backend servers.
	headerTimeout = 3 * time.Second
	// clientDescriptors is the share of a process's file descriptors that these connections may use. The others are for
	// files, and for connections to stores and engines.
	clientDescriptors = 0.6
)

// answerTimeout bounds the time in which calls are answered whose replica has stopped.
const answerTimeout = 300 * time.Millisecond

// serve starts the listeners for operators and servers and, if configured, for metrics.
func (p *process) serve(ctx context.Context) error {
	h := p.config.Host
	bounds := h.Clients.WithMachine(h.MemoryBytes, h.Descriptors, clientDescriptors).WithDefaults()
	account := inbound.NewAccount(inbound.AccountConfig{Bounds: bounds, Metrics: p.metrics, Logger: p.config.Logger})
	clients := inbound.New(inbound.Config{
		Name: "operators-and-servers", Handler: p.config.Handler(p), ReadsBodies: true, Account: account, Connections: bounds.Connections,
		Limits: clientLimits(bounds), CheckInterval: inbound.SlowCheckInterval, Metrics: p.metrics, Logger: p.config.Logger,
	})
	if err := p.listen(ctx, h.Listen, bounds, clients); err != nil {
		return err
	}
	if h.Metrics == "" {
		return nil
	}
	return p.listen(ctx, h.Metrics, bounds, inbound.NewPlatformServer(inbound.Config{
		Name: "metrics", Handler: platform.New(platform.Config{Ready: p.ready, Metrics: p.metrics}), Account: account, Metrics: p.metrics, Logger: p.config.Logger,
	}))
}

// clientLimits returns the limits of operators and backend servers.
func clientLimits(b inbound.Bounds) func() inbound.Limits {
	return func() inbound.Limits {
		return inbound.Limits{HeaderBytes: b.HeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: b.IdleTimeout}
	}
}

func (p *process) listen(ctx context.Context, address string, b inbound.Bounds, s inbound.Server) error {
	l, err := tcp.Listen(ctx, address, b.ReceiveBytes)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
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
