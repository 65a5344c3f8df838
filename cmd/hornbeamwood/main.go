// Command hornbeamwood runs and operates the serving system.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/settings"
	"hornbeamwood/internal/settings/tomlfile"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is a subcommand and the function that runs it.
type command struct {
	subcommand *flaggy.Subcommand
	run        func() error
}

func main() {
	flaggy.SetName("hornbeamwood")
	flaggy.SetDescription("serves prompts that return after long gaps")
	flaggy.SetVersion("")
	flaggy.DefaultParser.ShowHelpOnUnexpected = true
	var commands []command
	for _, newCommands := range []func() []command{entryCommand, controlCommand, keysCommands, settingsCommands, zonesCommands, checkCommands, statusCommand, demoCommand, loadCommand, explainCommand, lossesCommand, readingsCommand} {
		commands = append(commands, newCommands()...)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.subcommand.Used {
			os.Exit(exitCode(c.run()))
		}
	}
	flaggy.ShowHelp("name a command")
	os.Exit(exitUsage)
}

// usageError reports an invalid flag.
type usageError struct {
	flag, message string
}

// Error returns the flag and the message.
func (e usageError) Error() string {
	return fmt.Sprintf("--%s: %s", e.flag, e.message)
}

// exitCode prints err and returns the exit code for its kind.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "hornbeamwood:", err)
	var u usageError
	var s settings.UsageError
	var p tomlfile.Problems
	if errors.As(err, &u) || errors.As(err, &s) || errors.As(err, &p) {
		return exitUsage
	}
	return exitFailed
}

func requireFlag(flag, value string) error {
	if value == "" {
		return usageError{flag: flag, message: "is required"}
	}
	return nil
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	return c
}
