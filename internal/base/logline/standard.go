package logline

import (
	"io"
	stdlog "log"
	"strings"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
)

// maxText bounds the text of one line of a library in bytes.
const maxText = 2 << 10

// standard writes what libraries print by the standard logger as events.
type standard struct {
	logger log.Interface
}

// TakeStandard makes what libraries print by the standard logger events of l.
//
// Such lines have no fields and go where nobody looks for them; a panic in a
// request's handler would show only as connections that close without an answer.
func TakeStandard(l log.Interface) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(newStandard(l))
}

func newStandard(l log.Interface) io.Writer {
	return standard{logger: l}
}

// Write implements io.Writer.
func (s standard) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b[:min(len(b), maxText)]))
	event.LibraryWrote.Write(s.logger, log.Fields{"text": text})
	return len(b), nil
}
