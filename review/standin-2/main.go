// Command standin-2 runs the scripts of the second review: the project's own programs as processes, with stand-ins of
// clients, servers, stores and the platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun means that a case couldn't run, so that it says nothing.
var errNotRun = errors.New("the case couldn't run")

// cases are the scripts by name. Each returns how often the rule was broken.
var cases = map[string]func(p *place, trouble bool) (int, error){
	"regained":     regained,
	"late-end":     lateEnd,
	"frozen-entry": frozenEntry,
	"relayed":      relayed,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "plain-server" {
		fmt.Fprintln(os.Stderr, runPlain(os.Args[2], os.Args[3]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM RECORD; TROUBLE=0 leaves out the disruption")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(c func(*place, bool) (int, error), program, record string) int {
	p, err := newPlace(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer p.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		p.close()
		os.Exit(exitNotRun)
	}()
	broken, err := c(p, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		p.note("not run: %v", err)
		return exitNotRun
	case broken > 0:
		p.note("the rule was broken %d times", broken)
		return exitBroken
	}
	p.note("the rule held")
	return exitHeld
}
