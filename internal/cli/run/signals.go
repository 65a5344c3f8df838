package run

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// ExitCut is the exit code after a second signal.
const ExitCut = 1

// UntilSignal returns a context that ends on the first SIGTERM or SIGINT; a second one ends the process at once.
func UntilSignal() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(ExitCut)
	}()
	return ctx
}
