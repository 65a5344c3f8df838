package logline

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/apex/log"
)

// A line that a library prints with the standard logger must be found when the log
// is searched by fields. It is one log line even if the text has several lines.
func TestLinesOfLibrariesAreEvents(t *testing.T) {
	var out bytes.Buffer
	h := New(Config{Writer: &out})
	w := newStandardWriter(&log.Logger{Level: log.InfoLevel, Handler: h})
	if _, err := w.Write([]byte("buffer too small\nsee elsewhere\n")); err != nil {
		t.Fatal(err)
	}
	h.Close(time.Second)
	var l line
	if err := json.Unmarshal(out.Bytes(), &l); err != nil {
		t.Fatalf("%q: %v", out.String(), err)
	}
	if l.Message != "library-wrote" || l.Fields["text"] != "buffer too small\nsee elsewhere" {
		t.Errorf("got %+v", l)
	}
}
