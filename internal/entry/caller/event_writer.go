package caller

import (
	"bytes"
	"net/http"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
)

// eventWriter writes server-sent events and flushes after each.
type eventWriter struct {
	exchange *exchange
	control  *http.ResponseController
	buffer   []byte
}

func newEventWriter(x *exchange) *eventWriter {
	return &eventWriter{exchange: x, control: http.NewResponseController(x.writer)}
}

// write writes one event; data with several lines gets a data field for each line.
func (w *eventWriter) write(data []byte) error {
	w.buffer = append(w.buffer[:0], dataPrefix...)
	if bytes.IndexByte(data, '\n') < 0 {
		w.buffer = append(w.buffer, data...)
	} else {
		w.buffer = append(w.buffer, bytes.ReplaceAll(data, []byte("\n"), []byte("\ndata: "))...)
	}
	w.buffer = append(w.buffer, dataEnd...)
	return w.flush(w.buffer)
}

func (w *eventWriter) finish(last []byte) {
	_ = w.flush(last)
}

func (w *eventWriter) flush(b []byte) error {
	w.exchange.extendWrite()
	if _, err := w.exchange.writer.Write(b); err != nil {
		return err
	}
	return w.control.Flush()
}

// logErrorEvent logs a stream that ended with an error event.
func (x *exchange) logErrorEvent(e verdict.Error) {
	f := x.fields()
	f["status"] = http.StatusOK
	f["code"] = e.Code
	f["verdict"] = e.Verdict.String()
	event.CallerRefused.Write(x.handler.Logger, f)
}
