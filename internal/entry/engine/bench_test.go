package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
)

// fixedTransport is a transport that answers with one stream of the given number of events.
type fixedTransport struct {
	events int
}

func (e fixedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodDelete {
		return &http.Response{StatusCode: http.StatusNoContent, Body: http.NoBody}, nil
	}
	var b bytes.Buffer
	for p := 1; p <= e.events; p++ {
		fmt.Fprintf(&b, "data: {\"id\":\"cmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":1700000000,\"model\":\"draft\","+
			"\"choices\":[{\"index\":0,\"delta\":{\"content\":\" token\"},\"finish_reason\":null}],"+
			"\"hornbeamwood\":{\"request\":\"r\",\"attempt\":\"a\",\"position\":%d}}\n\n", p)
	}
	header := http.Header{}
	header.Set(headerRequest, "r")
	header.Set(headerAttempt, "a")
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(&b)}, nil
}

// BenchmarkNext measures one token event from the connection's bytes to the forwarded event.
func BenchmarkNext(b *testing.B) {
	c := New(Config{Transport: fixedTransport{events: b.N}, ResumeLimit: -1})
	s, err := c.Run(context.Background(), "127.0.0.1:1", attempt)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	s.Close()
	c.Wait()
}
