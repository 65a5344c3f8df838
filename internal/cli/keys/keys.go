package keys

import (
	"fmt"
	"io"
	"path/filepath"
	"time"

	"hornbeamwood/internal/node/keys"
)

// Config holds the flags of the keys commands.
type Config struct {
	// Folder holds the authority's files.
	Folder string
	// Out is the folder for a node's files; empty means Folder.
	Out string
	// Name is the node's name in its node file.
	Name string
	// Role is entry, control or operator.
	Role string
	// Validity is how long the certificate is valid.
	Validity time.Duration
}

// Authority creates a certificate authority and prints the paths of its files.
func Authority(c Config, w io.Writer) error {
	if _, err := keys.NewAuthority(c.Folder, c.Validity); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "certificate  %s\nprivate key  %s  (keep it off the nodes)\n",
		filepath.Join(c.Folder, keys.AuthorityCertificate), filepath.Join(c.Folder, keys.AuthorityKey))
	return err
}

// Node issues the keys of one node and prints the paths of its files.
func Node(c Config, w io.Writer) error {
	a, err := keys.LoadAuthority(c.Folder)
	if err != nil {
		return err
	}
	out := c.Out
	if out == "" {
		out = c.Folder
	}
	i, err := a.Issue(keys.Request{Name: c.Name, Role: keys.Role(c.Role), Valid: c.Validity}, out)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "certificate  %s\nprivate key  %s\nexpires      %s\n", i.CertificateFile, i.KeyFile, i.NotAfter.UTC().Format(time.RFC3339))
	return err
}
