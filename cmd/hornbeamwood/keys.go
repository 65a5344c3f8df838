package main

import (
	"os"
	"time"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/keys"
)

// Default validity periods of certificates.
const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	nodeValidity      = 90 * 24 * time.Hour
)

func keysCommands() []command {
	parent := newSubcommand("keys", "creates the keys for mutual TLS")
	flaggy.AttachSubcommand(parent, 1)
	return []command{authorityCommand(parent), nodeKeysCommand(parent)}
}

func authorityCommand(parent *flaggy.Subcommand) command {
	c := keys.Config{Validity: authorityValidity}
	s := newSubcommand("ca", "creates a certificate authority")
	s.String(&c.Folder, "f", "folder", "folder with the authority's files")
	s.Duration(&c.Validity, "v", "valid", "how long the authority is valid")
	parent.AttachSubcommand(s, 1)
	return command{subcommand: s, run: func() error {
		if err := requireFlag("folder", c.Folder); err != nil {
			return err
		}
		return keys.Authority(c, os.Stdout)
	}}
}

func nodeKeysCommand(parent *flaggy.Subcommand) command {
	c := keys.Config{Validity: nodeValidity, Role: "entry"}
	s := newSubcommand("node", "creates or renews the keys of one node")
	s.String(&c.Folder, "f", "folder", "folder with the authority's files")
	s.String(&c.Out, "o", "out", "folder for the node's files")
	s.String(&c.Name, "n", "name", "the node's name")
	s.String(&c.Role, "r", "role", "entry, control or operator")
	s.Duration(&c.Validity, "v", "valid", "how long the certificate is valid")
	parent.AttachSubcommand(s, 1)
	return command{subcommand: s, run: func() error {
		if err := requireFlag("folder", c.Folder); err != nil {
			return err
		}
		if err := requireFlag("name", c.Name); err != nil {
			return err
		}
		return keys.Node(c, os.Stdout)
	}}
}
