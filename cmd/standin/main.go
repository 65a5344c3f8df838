// Command standin runs a stand-in for a backend server, for trials and tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/standin/process"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	var settings string
	flaggy.SetName("standin")
	flaggy.SetDescription("stand-ins for backend servers, for trials and tests")
	flaggy.SetVersion("")
	kinds := map[process.Kind]*flaggy.Subcommand{}
	for _, k := range []process.Kind{process.Engine, process.Service, process.Store, process.Weights} {
		c := flaggy.NewSubcommand(string(k))
		c.Description = "runs a stand-in " + string(k)
		c.String(&settings, "s", "settings", "TOML file of the stand-in")
		flaggy.AttachSubcommand(c, 1)
		kinds[k] = c
	}
	flaggy.Parse()
	for k, c := range kinds {
		if c.Used {
			os.Exit(run(k, settings))
		}
	}
	flaggy.ShowHelp("name one of engine, service, store, weights")
	os.Exit(exitUsage)
}

func run(k process.Kind, settings string) int {
	f, err := process.Load(settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := process.Run(ctx, k, f, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	return 0
}
