// Package hornbeamwood serves language-model prompts that return after long
// gaps. It constructs the two kinds of long-running processes with their default
// components: entries, which serve callers, operators and backend servers, and
// replicas of the control log.
package hornbeamwood

import (
	"context"

	"github.com/apex/log"

	"hornbeamwood/internal/control/lease"
	"hornbeamwood/internal/control/ledger"
	"hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/process/control"
	"hornbeamwood/internal/process/entry"
	"hornbeamwood/internal/settings/node"
	"hornbeamwood/internal/settings/section"
)

// Config configures a Process.
type Config struct {
	// File is the node file.
	File node.File
	// Logger receives the numbered events.
	Logger log.Interface
}

// Process is a long-running process.
type Process interface {
	// Run serves until ctx ends and returns nil after a graceful stop.
	Run(ctx context.Context) error
}

// NewEntry returns an entry that is ready to run.
func NewEntry(c Config) (Process, error) {
	return entry.New(entry.Config{File: c.File, Logger: c.Logger})
}

// NewControl returns a replica of the control log that is ready to run.
func NewControl(c Config) (Process, error) {
	settings := section.New()
	return control.New(control.Config{
		File:     c.File,
		Sections: []state.Section{settings, ledger.New(), lease.New(), quarantine.New(quarantine.Config{})},
		Settings: settings,
		Logger:   c.Logger,
	})
}
