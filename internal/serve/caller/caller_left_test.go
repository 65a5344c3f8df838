package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/site/document"
)

// beginAnswer sends the head and the first bytes of a response of the given length. If it continues, the rest
// follows after a pause.
func beginAnswer(length, begun int, continues bool) script {
	return func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: x\r\nContent-Length: %d\r\n\r\n%s", q.Header.Get("A-Id"), length, strings.Repeat("x", begun))
		if continues {
			time.Sleep(100 * time.Millisecond)
			_, err := c.Write(make([]byte, length-begun))
			return err == nil
		}
		_, _ = c.Read(make([]byte, 1))
		return false
	}
}

// leave sends a request, waits until a part of its response has arrived or some time is over, and disconnects.
func (f *fixture) leave(t *testing.T, path string) {
	t.Helper()
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nA-Id: r1\r\nContent-Length: 0\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, _ = bufio.NewReader(c).ReadString('\n')
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against sound servers that are ejected, and requests that are quarantined, because callers disconnect in
// the middle of a response.
func TestCallerThatLeavesIsNoLossOfTheServer(t *testing.T) {
	const large = 16 * maxBufferedBytes
	for _, x := range []struct {
		name, path string
		server     script
	}{
		{"repeatable, silent in a small response", "/read/x", beginAnswer(100, 50, false)},
		{"repeatable, silent in a large response", "/read/x", beginAnswer(large, maxBufferedBytes, false)},
		{"repeatable, in a large response", "/read/x", beginAnswer(large, maxBufferedBytes, true)},
		{"once, in a large response", "/once/x", beginAnswer(large, maxBufferedBytes, true)},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newFixture(t, x.server)
			f.setRoute("read", func(r *document.Route) { r.LatencyTarget = time.Second })
			f.leave(t, x.path)
			time.Sleep(600 * time.Millisecond)
			if s := f.config.Tracker.Stats("s0"); s.InFlight != 0 || s.ConsecutiveLosses != 0 || s.Failures != 0 {
				t.Errorf("the server counts as %+v", s)
			}
			if c, reported := f.config.Guard.Pending(time.Now().Add(time.Second)); reported {
				t.Errorf("the run is reported: %+v", c)
			}
		})
	}
}
