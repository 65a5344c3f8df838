// Command hornbeamwood runs and drives the serving system.
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
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// verb is one subcommand with what it does.
type verb struct {
	command *flaggy.Subcommand
	run     func() error
}

func main() {
	flaggy.SetName("hornbeamwood")
	flaggy.SetDescription("serves prompts that return after long gaps")
	flaggy.SetVersion("")
	flaggy.DefaultParser.ShowHelpOnUnexpected = true
	var verbs []verb
	for _, add := range []func() []verb{entryVerb, controlVerb, keysVerbs, settingsVerbs, checkVerbs, statusVerb, demoVerb, loadVerb, explainVerb, lossesVerb, readingsVerb} {
		verbs = append(verbs, add()...)
	}
	flaggy.Parse()
	for _, v := range verbs {
		if v.command.Used {
			os.Exit(exitCode(v.run()))
		}
	}
	flaggy.ShowHelp("name a command")
	os.Exit(exitUsage)
}

// usageError is a mistake in the flags.
type usageError struct {
	flag, message string
}

// Error names the flag.
func (e usageError) Error() string {
	return fmt.Sprintf("--%s: %s", e.flag, e.message)
}

// exitCode prints err and returns the exit code that tells its kind.
func exitCode(err error) int {
	if err == nil {
		return exitDone
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

func required(flag, value string) error {
	if value == "" {
		return usageError{flag: flag, message: "is required"}
	}
	return nil
}

func subcommand(name, description string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	return c
}
