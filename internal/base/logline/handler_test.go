package logline

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
)

// The output of a process is not read, so that the pipe is full and writes block.
// Logging must not block the process, and dropped lines must be counted.
func TestBlockedOutputHoldsUpNobody(t *testing.T) {
	release := make(chan struct{})
	var dropped atomic.Uint64
	h := New(Config{Writer: blockedWriter{release}, Dropped: func(n uint64) { dropped.Add(n) }})
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	began := time.Now()
	for range 20 * queueLength {
		l.Warn("line")
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("logging 20 times the queue length took %s", took)
	}
	close(release)
	deadline := time.Now().Add(10 * time.Second)
	for dropped.Load() == 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if dropped.Load() < 10*queueLength {
		t.Errorf("%d lines were counted as dropped", dropped.Load())
	}
	h.Close(time.Second)
}

type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestLinesHoldFieldsOfProcess(t *testing.T) {
	var out bytes.Buffer
	h := New(Config{Writer: &out, Fields: log.Fields{"vm": "a"}})
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	l.WithField("request", "r1").Info("request-ended")
	h.Close(time.Second)
	var got line
	if err := json.Unmarshal([]byte(strings.TrimSpace(out.String())), &got); err != nil {
		t.Fatal(err)
	}
	if got.Message != "request-ended" || got.Fields["vm"] != "a" || got.Fields["request"] != "r1" {
		t.Errorf("got %+v", got)
	}
}
