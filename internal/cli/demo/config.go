package demo

import "io"

// Config holds the flags of the demo command.
type Config struct {
	// Folder holds keys and data; empty means a temporary folder that is removed at the end.
	Folder string
	// Listen is the IP and port of the first entry's HTTP interface.
	Listen string
	// Once runs the tour once instead of serving until the context ends.
	Once bool
	// Logs receives the log lines of all components.
	Logs io.Writer
}

// API keys of the example settings; examples/README.md lists them.
const (
	bootstrapKey = "certilote-bootstrap-key"
	operatorKey  = "certilote-lucia-key"
	announceKey  = "certilote-announce-key"
	draftKey     = "certilote-bogota-key"
	logbookKey   = "association-daejeon-key"
)
