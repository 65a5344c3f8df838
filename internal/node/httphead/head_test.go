package httphead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// Guards against a response whose status is none, or in whose heads the name of a field is malformed, and against heads of
// informational responses that never end.
func TestRead(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	informational := func(n int) string { return strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", n) }
	for _, x := range []struct {
		name, received string
		status         int
	}{
		{"final", final, 200},
		{"informational", informational(2) + final, 200},
		{"failure", "HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n", 599},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n" + final, 0},
		{"status 099", "HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n" + final, 0},
		{"switch of protocols", "HTTP/1.1 101 X\r\n\r\n" + final, 0},
		{"endless", informational(1000) + final, 0},
		{"space in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n", 0},
		{"space before a colon", "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n", 0},
		{"space in an informational name", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + final, 0},
		{"continued line", "HTTP/1.1 200 OK\r\nX-Long: 1\r\n X Odd: 1\r\nContent-Length: 0\r\n\r\n", 200},
		{"no status", "HTTP/1.1 \r\n\r\n", 0},
	} {
		r, err := Read(bufio.NewReader(strings.NewReader(x.received)), &http.Request{Method: http.MethodGet})
		switch {
		case x.status == 0 && err == nil:
			t.Errorf("%s: got status %d", x.name, r.StatusCode)
		case x.status != 0 && (err != nil || r.StatusCode != x.status):
			t.Errorf("%s: got %v", x.name, err)
		}
	}
}
