package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// repeatedEvents is a stream of the given number of identical events.
type repeatedEvents struct {
	remaining int
	data      []byte
}

func (s *repeatedEvents) Next() ([]byte, error) {
	if s.remaining == 0 {
		return nil, io.EOF
	}
	s.remaining--
	return s.data, nil
}

func (s *repeatedEvents) Close() {}

// discard is a response writer that only counts bytes.
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

// BenchmarkRelay measures the relay of one token event from the stream to the caller's connection, without the socket.
func BenchmarkRelay(b *testing.B) {
	h := New(Config{}).(*handler)
	x := &exchange{handler: h, writer: &discard{header: http.Header{}}, request: httptest.NewRequest("POST", "/v1/chat/completions", nil)}
	s := &repeatedEvents{remaining: b.N, data: []byte(chatEvents("token", "x")[0])}
	b.ReportAllocs()
	b.ResetTimer()
	if err := x.relay(s, false); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkParse measures the parsing of a body with a prompt of 400,000 bytes, about 100,000 tokens.
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
