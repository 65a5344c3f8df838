package run

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// ExitInterrupted is the exit code after a second signal.
const ExitInterrupted = 1

// UntilSignal returns a context that is canceled on the first SIGTERM or SIGINT. A second signal exits the process at once.
func UntilSignal() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(ExitInterrupted)
	}()
	return ctx
}
