package settings

import (
	"crypto/rand"
	"io"
	"net/http"
	"time"
)

// Config holds the flags and arguments of all settings commands; each command reads those that it has.
type Config struct {
	// Entry is the URL of any entry, for example "http://10.0.0.4:8080".
	Entry string
	// Key is the operator's key.
	Key string
	// Path names a branch; empty means "/".
	Path string
	// Setting is the name of one setting.
	Setting string
	// Value is the new value of a setting as text; key digests are separated by commas.
	Value string
	// File is the TOML file of Apply, "-" for Stdin.
	File string
	// Stdin is read for the file "-".
	Stdin io.Reader
	// IfMatch is the revision that the edit is based on; empty means the newest.
	IfMatch string
	// EditID is the ID of the edit; empty means a random one.
	EditID string
	// Wait is "in-force" to wait until the edit is in force everywhere.
	Wait string
	// From and To are the revisions that Diff compares; To is also the newest revision that History shows.
	From, To string
	// Limit is the number of edits that History shows.
	Limit string
	// JSON prints the entry's JSON instead of text.
	JSON bool
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
	// RetryDelay is the delay before an edit of unknown outcome is sent again; zero means 1 s.
	RetryDelay time.Duration
}

func (c Config) withDefaults() Config {
	if c.Client == nil {
		c.Client = http.DefaultClient
	}
	if c.RetryDelay == 0 {
		c.RetryDelay = time.Second
	}
	if c.EditID == "" {
		c.EditID = rand.Text()
	}
	if c.Path == "" {
		c.Path = "/"
	}
	return c
}
