package keys

import (
	"fmt"
	"io"
	"path/filepath"
	"time"

	"hornbeamwood/internal/node/keys"
)

// Config is what the verbs of keys take.
type Config struct {
	// Folder holds the authority's files.
	Folder string
	// Out is where a node's files go; the authority's folder when empty.
	Out string
	// Name is the node's name in its node file.
	Name string
	// Role is entry, control or operator.
	Role string
	// Valid is how long the certificate is valid.
	Valid time.Duration
}

// Authority makes a certificate authority and says where its files are.
func Authority(c Config, w io.Writer) error {
	if _, err := keys.NewAuthority(c.Folder, c.Valid); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "certificate  %s\nprivate key  %s  (keep it off the nodes)\n",
		filepath.Join(c.Folder, keys.AuthorityCertificate), filepath.Join(c.Folder, keys.AuthorityKey))
	return err
}

// Node makes the keys of one node and says where its files are.
func Node(c Config, w io.Writer) error {
	a, err := keys.LoadAuthority(c.Folder)
	if err != nil {
		return err
	}
	out := c.Out
	if out == "" {
		out = c.Folder
	}
	i, err := a.Issue(keys.Request{Name: c.Name, Role: keys.Role(c.Role), Valid: c.Valid}, out)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "certificate  %s\nprivate key  %s\nexpires      %s\n", i.CertificateFile, i.KeyFile, i.NotAfter.UTC().Format(time.RFC3339))
	return err
}
