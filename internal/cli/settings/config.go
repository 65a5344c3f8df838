package settings

import (
	"crypto/rand"
	"io"
	"net/http"
	"time"
)

// Config holds the flags and arguments of a verb; each verb reads those that concern it.
type Config struct {
	// Entry is the URL of any entry, for example "http://10.0.0.4:8080".
	Entry string
	// Key is the operator's key.
	Key string
	// Path names a branch, "/" when empty.
	Path string
	// Setting is the name of one setting.
	Setting string
	// Value is the text of a setting's new value; key digests are separated by commas.
	Value string
	// File is the TOML file of Apply, "-" for Stdin.
	File string
	// Stdin is read for the file "-".
	Stdin io.Reader
	// IfMatch is the revision that the operator saw; the newest one when empty.
	IfMatch string
	// EditID is the edit id; a random one when empty.
	EditID string
	// Wait is "in-force" for an answer only once the edit is in force everywhere.
	Wait string
	// From and To are revisions of Diff and, To only, of History.
	From, To string
	// Limit is the number of edits that History shows.
	Limit string
	// JSON asks for the entry's JSON in place of text for people.
	JSON bool
	// Client makes the requests; http.DefaultClient when nil.
	Client *http.Client
	// Pause is waited before an edit of unknown outcome is sent again; 1 s when zero.
	Pause time.Duration
}

func (c Config) withDefaults() Config {
	if c.Client == nil {
		c.Client = http.DefaultClient
	}
	if c.Pause == 0 {
		c.Pause = time.Second
	}
	if c.EditID == "" {
		c.EditID = rand.Text()
	}
	if c.Path == "" {
		c.Path = "/"
	}
	return c
}
