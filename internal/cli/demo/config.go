package demo

import "io"

// Config is what the verb demo takes.
type Config struct {
	// Folder holds keys and data; a temporary one that is removed at the end when empty.
	Folder string
	// Listen is the IP and port of the first entry's HTTP interface.
	Listen string
	// Once runs the tour and ends.
	Once bool
	// Logs takes the processes' log lines.
	Logs io.Writer
}

// Keys of the example settings; examples/README.md lists them.
const (
	bootstrapKey = "certilote-bootstrap-key"
	operatorKey  = "certilote-lucia-key"
	announceKey  = "certilote-announce-key"
	draftKey     = "certilote-bogota-key"
	logbookKey   = "association-daejeon-key"
)
