package caller

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
)

const (
	// maxHeldBytes is the largest answer that is held for a caller of HTTP/1.0.
	maxHeldBytes = 4 << 20
	// maxHeldTogetherBytes bounds the answers that are held at a time.
	maxHeldTogetherBytes = 32 << 20
)

// Reasons of refusals to callers of HTTP/1.0.
const (
	answerTooLarge = "answer-too-large"
	tooManyHeld    = "too-many-held-answers"
)

var errTooLarge = errors.New("the answer is too large to be held")

// heldWriter holds an answer without a length until it has ended.
//
// HTTP/1.0 has no chunks. To its callers the end of a connection is the end of an answer, also if the answer or this
// process has broken off.
type heldWriter struct {
	http.ResponseWriter
	method string
	// total counts the bytes of all answers that are held.
	total *atomic.Int64
	// reserve reserves memory until the request has ended, reserved is what is reserved.
	reserve  func(n int64) bool
	reserved int64
	// status is the status of the answer that is held, zero if none is.
	status int
	body   bytes.Buffer
	// tooLarge is set once the answer couldn't be held any more.
	tooLarge bool
}

// Unwrap returns the writer to the caller.
func (w *heldWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *heldWriter) WriteHeader(status int) {
	bodyless := w.method == http.MethodHead || status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
	if bodyless || w.Header().Get("Content-Length") != "" {
		w.ResponseWriter.WriteHeader(status)
		return
	}
	w.status = status
}

// Write implements http.ResponseWriter.
func (w *heldWriter) Write(b []byte) (int, error) {
	if w.status == 0 {
		return w.ResponseWriter.Write(b)
	}
	if w.body.Len()+len(b) > maxHeldBytes || w.total.Load()+int64(len(b)) > maxHeldTogetherBytes || !w.reserveFor(len(b)) {
		w.tooLarge = true
		return 0, errTooLarge
	}
	before := w.body.Cap()
	n, err := w.body.Write(b)
	w.total.Add(int64(w.body.Cap() - before))
	return n, err
}

// reserveFor reserves memory for n more bytes. The body grows to twice its size, while the smaller copy is still held.
func (w *heldWriter) reserveFor(n int) bool {
	if w.body.Available() >= n {
		return true
	}
	more := int64(3*(w.body.Len()+n)) - freeAnswerBytes - w.reserved
	if more <= 0 {
		return true
	}
	if !w.reserve(more) {
		return false
	}
	w.reserved += more
	return true
}

// FlushError flushes what isn't held.
func (w *heldWriter) FlushError() error {
	if w.status != 0 {
		return nil
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// withdraw drops the answer that is held, so that another can take its place. It returns false if none is.
func (w *heldWriter) withdraw() bool {
	if w == nil || w.status == 0 {
		return false
	}
	h := w.Header()
	closing := h.Get("Connection")
	clear(h)
	if closing != "" {
		h.Set("Connection", closing)
	}
	w.release()
	return true
}

// finish sends the answer that is held.
func (w *heldWriter) finish() {
	if w == nil || w.status == 0 {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(w.body.Len()))
	w.ResponseWriter.WriteHeader(w.status)
	// The caller may have disconnected; there is no one else to report to.
	_, _ = w.ResponseWriter.Write(w.body.Bytes())
	w.release()
}

func (w *heldWriter) release() {
	w.total.Add(-int64(w.body.Cap()))
	w.status, w.body = 0, bytes.Buffer{}
}
