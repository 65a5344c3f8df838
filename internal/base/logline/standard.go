package logline

import (
	"io"
	stdlog "log"
	"strings"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
)

// maxText is the maximum length in bytes of the text of a line from the standard logger.
const maxText = 2 << 10

// standardWriter is the output of the standard logger; it writes each line as an event.
type standardWriter struct {
	logger log.Interface
}

// RedirectStandard redirects the standard logger, which libraries use, to l: each line becomes an event.
//
// Otherwise such lines have no fields and are missed by searches of the log. A
// panic in a request handler would be visible only as connections that close
// without an answer.
func RedirectStandard(l log.Interface) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(newStandardWriter(l))
}

func newStandardWriter(l log.Interface) io.Writer {
	return standardWriter{logger: l}
}

// Write implements io.Writer.
func (s standardWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b[:min(len(b), maxText)]))
	event.LibraryWrote.Write(s.logger, log.Fields{"text": text})
	return len(b), nil
}
