package run

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// ExitInterrupted is the exit code after a second signal.
const ExitInterrupted = 1

// UntilSignal returns a context that is canceled on the first SIGTERM or SIGINT. A second signal exits the process at once.
//
// From then on, the process goes on without a log when the reader of its output is gone; SIGPIPE would end it.
func UntilSignal() context.Context {
	signal.Ignore(syscall.SIGPIPE)
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		s := <-signals
		fmt.Fprintf(os.Stderr, "a second signal, %v, ends the process before its graceful stop is complete\n", s)
		os.Exit(ExitInterrupted)
	}()
	return ctx
}
