package main

import (
	"os"
	"time"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/keys"
)

// Default lifetimes of certificates.
const (
	authorityValid = 10 * 365 * 24 * time.Hour
	nodeValid      = 90 * 24 * time.Hour
)

func keysVerbs() []verb {
	parent := subcommand("keys", "makes the keys of mutual TLS")
	flaggy.AttachSubcommand(parent, 1)
	return []verb{authorityVerb(parent), nodeKeysVerb(parent)}
}

func authorityVerb(parent *flaggy.Subcommand) verb {
	c := keys.Config{Valid: authorityValid}
	s := subcommand("ca", "makes a certificate authority")
	s.String(&c.Folder, "f", "folder", "folder of the authority's files")
	s.Duration(&c.Valid, "v", "valid", "how long the authority is valid")
	parent.AttachSubcommand(s, 1)
	return verb{command: s, run: func() error {
		if err := required("folder", c.Folder); err != nil {
			return err
		}
		return keys.Authority(c, os.Stdout)
	}}
}

func nodeKeysVerb(parent *flaggy.Subcommand) verb {
	c := keys.Config{Valid: nodeValid, Role: "entry"}
	s := subcommand("node", "makes or renews the keys of one node")
	s.String(&c.Folder, "f", "folder", "folder of the authority's files")
	s.String(&c.Out, "o", "out", "folder for the node's files")
	s.String(&c.Name, "n", "name", "the node's name")
	s.String(&c.Role, "r", "role", "entry, control or operator")
	s.Duration(&c.Valid, "v", "valid", "how long the certificate is valid")
	parent.AttachSubcommand(s, 1)
	return verb{command: s, run: func() error {
		if err := required("folder", c.Folder); err != nil {
			return err
		}
		if err := required("name", c.Name); err != nil {
			return err
		}
		return keys.Node(c, os.Stdout)
	}}
}
