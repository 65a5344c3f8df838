package backend

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"slices"
	"time"

	"hornbeamwood/internal/node/httphead"
)

// maxChunkHead is the size of the longest head of a chunk without its end: 16 hexadecimal digits and a carriage return.
const maxChunkHead = 17

// availableReader returns what has arrived of a response without waiting for more.
//
// The reader of net/http waits for the rest of a chunk, or of the trailer, while it holds chunks that have arrived whole.
type availableReader struct {
	*Exchange
	chunks io.Reader
	// ended is set after the last chunk.
	ended bool
}

// Available returns a reader of the body that waits only while nothing has arrived.
func (x *Exchange) Available() io.Reader {
	if !slices.Contains(x.Response.TransferEncoding, "chunked") {
		return x
	}
	return &availableReader{Exchange: x, chunks: httputil.NewChunkedReader(x.conn.reader)}
}

// Read implements io.Reader.
func (r *availableReader) Read(b []byte) (int, error) {
	switch {
	case len(b) == 0:
		return 0, nil
	case r.complete:
		return 0, io.EOF
	}
	n, err := 0, error(nil)
	for most := 1; !r.ended && err == nil && n < len(b) && most > 0; most = r.arrived() {
		var m int
		m, err = r.chunks.Read(b[n:min(len(b), n+most)])
		n += m
		r.ended = errors.Is(err, io.EOF)
	}
	if n > 0 {
		r.readAt = time.Now()
	}
	switch {
	case !r.ended:
		return n, err
	case n > 0:
		return n, nil
	}
	return 0, r.readTrailer()
}

// readTrailer reads the end of the body and returns io.EOF.
func (r *availableReader) readTrailer() error {
	err := r.conn.readBounded(func() error { return httphead.ReadTrailer(r.conn.reader) })
	if err != nil {
		return err
	}
	r.complete = true
	return io.EOF
}

// arrived returns how many further bytes of the body have arrived at least.
//
// The reader of chunks has taken the head of the next chunk with the last byte of one, unless only a part of it had
// arrived. So what is buffered begins with bytes of the body, or is no longer than a head.
func (r *availableReader) arrived() int {
	p, err := r.conn.reader.Peek(r.conn.reader.Buffered())
	if err != nil {
		return 0
	}
	// A chunk ends with a carriage return.
	before, _, _ := bytes.Cut(p, []byte{'\r'})
	switch {
	case len(before) > maxChunkHead:
		return len(before)
	case bytes.IndexByte(p, '\n') >= 0:
		return 1
	}
	return 0
}
