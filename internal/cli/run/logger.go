package run

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"

	"hornbeamwood/internal/settings/node"
)

// NewLogger returns a logger that writes lines in the given format to w.
func NewLogger(f node.LogFormat, w io.Writer) log.Interface {
	l := &log.Logger{Level: log.InfoLevel, Handler: json.New(w)}
	if f == node.Text {
		l.Handler = logfmt.New(w)
	}
	return l
}
