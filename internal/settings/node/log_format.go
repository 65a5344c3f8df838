package node

// LogFormat is the format of log lines.
type LogFormat string

const (
	// JSON writes one JSON object per line; it is the default.
	JSON LogFormat = "json"
	// Text writes human-readable lines.
	Text LogFormat = "text"
)
