package caller

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against an answer whose status is none, or a failure with a server's stamp and another status than it gave, because a
// server sends one that HTTP doesn't have; and against informational heads that never end.
func TestStatusThatIsNoneIsNotForwarded(t *testing.T) {
	const latest = time.Second
	for name, head := range map[string]string{
		"000":     "HTTP/1.1 000 OK\r\n",
		"099":     "HTTP/1.1 099 OK\r\n",
		"101":     "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n",
		"endless": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 200) + "HTTP/1.1 200 OK\r\n",
	} {
		for _, path := range []string{"/read/x", "/once/x", "/stream/x", "/resume/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
					_, err := fmt.Fprintf(c, "%sA-Id: %s\r\nA-Stamp: x\r\nContent-Length: 2\r\n\r\nno", head, q.Header.Get("A-Id"))
					return err == nil
				})
				began := time.Now()
				g := f.request(t, "r1", http.MethodPost, path)
				if g.status != http.StatusBadGateway || g.header.Get("A-Stamp") != "" || g.body == "no" {
					t.Errorf("got %+v", g)
				}
				if took := time.Since(began); took > latest {
					t.Errorf("it took %v", took)
				}
			})
		}
	}
}
