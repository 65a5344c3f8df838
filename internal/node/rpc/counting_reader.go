package rpc

import (
	"fmt"
	"io"
)

// countingReader counts the bytes that are read through it and calls onRead after each read that returns any.
type countingReader struct {
	io.Reader
	onRead func()
	bytes  int
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.bytes += n
	if n > 0 {
		r.onRead()
	}
	return n, err
}

// countAnswer adds the bytes of one answer to the metrics, separately for complete and lost answers.
func (n *node) countAnswer(method string, bytes int, whole bool) {
	if n.config.Metrics == nil {
		return
	}
	outcome := "whole"
	if !whole {
		outcome = "lost"
	}
	n.config.Metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeamwood_rpc_answer_bytes_total{method=%q,outcome=%q}`, method, outcome)).Add(bytes)
}
