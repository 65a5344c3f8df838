package node

// LogFormat is the form of log lines.
type LogFormat string

const (
	// JSON writes one JSON object a line; it is the default.
	JSON LogFormat = "json"
	// Text writes lines for people.
	Text LogFormat = "text"
)
