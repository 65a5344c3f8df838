package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// repeated is a stream of the given number of equal events.
type repeated struct {
	left int
	data []byte
}

func (s *repeated) Next() ([]byte, error) {
	if s.left == 0 {
		return nil, io.EOF
	}
	s.left--
	return s.data, nil
}

func (s *repeated) Close() {}

// discard is a response writer that counts bytes only.
type discard struct {
	header http.Header
	bytes  int
}

func (d *discard) Header() http.Header { return d.header }

func (d *discard) Write(b []byte) (int, error) {
	d.bytes += len(b)
	return len(b), nil
}

func (d *discard) WriteHeader(int) {}

func (d *discard) Flush() {}

// BenchmarkRelay measures one token event from the stream to the caller's connection, without the socket.
func BenchmarkRelay(b *testing.B) {
	h := New(Config{}).(*handler)
	x := &exchange{handler: h, writer: &discard{header: http.Header{}}, request: httptest.NewRequest("POST", "/v1/chat/completions", nil)}
	s := &repeated{left: b.N, data: []byte(chatEvents("token", "x")[0])}
	b.ReportAllocs()
	b.ResetTimer()
	if err := x.relay(s, false); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkParse measures a body with a prompt of 400,000 bytes, some 100,000 tokens.
func BenchmarkParse(b *testing.B) {
	body := []byte(`{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("logbook ", 50_000) + `"}]}`)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for range b.N {
		if _, err := parseCompletion(chatProtocol, body); err != nil {
			b.Fatal(err)
		}
	}
}
