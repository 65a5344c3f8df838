package clients

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// What the processes of the test's site may use: the memory of the smallest machine in force, and fewer descriptors,
// of which some are reserved for files.
var (
	entryBounds   = bounds{megabytes: 112, handles: 700}
	controlBounds = bounds{megabytes: 150, handles: 500}
)

// Limits of the test's document.
const (
	maxBody   = 4 << 20
	maxHeader = 16 << 10
	document  = `{"version":1,"routes":[
{"name":"r","host":"h","path_prefix":"/a/","kind":"idempotent","timeout_ms":6000,"target_latency_ms":100,"service":"desk","max_attempts":2},
{"name":"l","host":"h","path_prefix":"/long/","kind":"idempotent","timeout_ms":30000,"target_latency_ms":100,"service":"desk","max_attempts":2},
{"name":"o","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":6000,"target_latency_ms":100,"service":"desk","max_attempts":1}],
"services":[{"name":"desk","max_connections":400}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["k"]}]}`
)

// site is a control replica, an entry and a server on loopback addresses.
type site struct {
	t                                  *testing.T
	control, entry                     *process
	callers, ready, metrics, operators string
	controlMetrics                     string
}

var networks atomic.Int64

// newNetwork returns the first three octets of loopback addresses that no other test uses.
func newNetwork() string {
	n := int64(os.Getpid())*16 + networks.Add(1)
	return fmt.Sprintf("127.%d.%d", 20+n/250%200, n%250)
}

// startSite starts a site whose document is in force and whose server is known.
func startSite(t *testing.T) *site {
	t.Helper()
	requireAlone(t)
	network, folder := newNetwork(), t.TempDir()
	s := &site{t: t, callers: network + ".1:8005", ready: network + ".1:8002", metrics: network + ".1:7703", operators: network + ".2:8000", controlMetrics: network + ".2:7702"}
	control := filepath.Join(folder, "control.toml")
	s.write(control, s.settings("c", network+".2")+fmt.Sprintf("data_dir = %q\n[listen]\ncontrol = %q\n", filepath.Join(folder, "data"), s.operators)+s.tables(controlBounds))
	entry := filepath.Join(folder, "entry.toml")
	s.write(entry, s.settings("e", network+".1")+fmt.Sprintf("[listen]\nfront = %q\nready = %q\n", s.callers, s.ready)+s.tables(entryBounds))
	s.control = startProgram(t, "control", []string{"HORNBEAMWOOD_CONFIG=" + control}, []string{s.operators, s.controlMetrics}, "hornbeamwood-platform", "control")
	s.entry = startProgram(t, "entry", []string{"HORNBEAMWOOD_CONFIG=" + entry}, []string{s.callers, s.ready, s.metrics}, "hornbeamwood-platform", "entry")
	s.startServer()
	eventually(t, "the document is acknowledged", func() bool {
		return post("http://"+s.operators+"/v1/Config.Put", document) == http.StatusOK
	})
	s.ordinary().requireAnswer(t, "in calm")
	return s
}

func (s *site) settings(node, ip string) string {
	return fmt.Sprintf("node = %q\nip = %q\nzone = \"z\"\ninternal_ports = [7700, 7715]\nseeds = [%q]\nbootstrap = true\nheartbeat_ms = 200\n", node, ip, s.operators)
}

func (s *site) tables(b bounds) string {
	return fmt.Sprintf("[limits]\nmemory_mb = %d\nmax_fds = %d\n[bounds]\ngrace_s = 6\nlease_ms = 1000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_slack = 50\n", b.megabytes, b.handles)
}

func (s *site) write(path, text string) {
	s.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

var poster = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func post(url, body string) int {
	r, err := poster.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// largeAnswer is the body of an answer under /a/large.
var largeAnswer = bytes.Repeat([]byte("x"), 2<<20)

// mediumAnswerBytes is the size of an answer under /a/medium.
const mediumAnswerBytes = 250 << 10

// startServer starts a server that reads requests whole, and announces it until the test ends.
func (s *site) startServer() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(serveBackend)}
	go func() { _ = server.Serve(l) }()
	stop := make(chan struct{})
	s.t.Cleanup(func() {
		close(stop)
		_ = server.Close()
	})
	go func() {
		for n := 1; ; n++ {
			post("http://"+s.operators+"/v1/Instances.Heartbeat/i-1", fmt.Sprintf(`{"service":"desk","address":%q,"zone":"z","version":"v1","slots":64,"state":"ready","sequence":%d,"born":1700000000000}`, l.Addr(), n))
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
}

func serveBackend(w http.ResponseWriter, q *http.Request) {
	n, err := io.Copy(io.Discard, q.Body)
	if err != nil {
		return
	}
	w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Stamp", "mark")
	switch q.URL.Path {
	case "/a/large":
		_, _ = w.Write(largeAnswer)
		return
	case "/a/medium":
		_, _ = w.Write(largeAnswer[:mediumAnswerBytes])
		return
	}
	fmt.Fprintf(w, "served %d", n)
}

// caller is where the crowds of callers send.
var caller = target{method: "POST", path: "/a/x", headers: "Attempt-Id: crowd\r\nX-Api-Key: k\r\nDeadline-Ms: 6000\r\n"}

// with returns the target at another path or with other headers.
func (a target) with(path, headers string) target {
	a.path, a.headers = path, headers
	return a
}

// ordinary is a request of an ordinary caller.
func (s *site) ordinary() request {
	return s.sized(100)
}

// sized is a caller's request with a body of n bytes.
func (s *site) sized(n int) request {
	return request{
		address: s.callers, want: fmt.Sprintf("served %d", n), body: bytes.Repeat([]byte("b"), n),
		text: target{"POST", "/a/x", "Attempt-Id: ordinary\r\nX-Api-Key: k\r\nDeadline-Ms: 10000\r\n"}.head("1.1", "Connection: close\r\nContent-Length: ") + fmt.Sprint(n) + headEnd,
	}
}

// endure plays a crowd and checks that the processes live within their bounds, and that ordinary requests are answered
// while the crowd stays and after it has left.
func (s *site) endure(c crowd, ordinary ...request) {
	s.t.Helper()
	answerBeside(s.t, c, append(ordinary, s.ordinary()))
	s.entry.check(s.t, entryBounds)
	s.control.check(s.t, controlBounds)
}
