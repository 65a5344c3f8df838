package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// backendPause is the time between two events of a stream, or two pieces of a body.
	backendPause = 20 * time.Millisecond
	// cutInterval is the number of responses of which a server cuts the head of one.
	cutInterval = 60
	// longEvents is the number of events of a long stream.
	longEvents = 150
	// runningPath is where a server says how many requests it runs.
	runningPath = "/running"
	// longPrefix begins the names of long streams.
	longPrefix = "long-"
	// maxBody is the length up to which bodies are drawn, pieceLength that of their pieces.
	maxBody     = 6000
	pieceLength = 250
	// leaveTime is how long a server serves on after it has announced that it leaves.
	leaveTime = 2500 * time.Millisecond
)

// backendConfig holds what a server needs that is a process of its own.
type backendConfig struct {
	id, service, software, address string
	controls                       []string
	// seed determines how it writes, numbering how its service numbers events.
	seed      uint64
	numbering int
	weights   int
}

// backend is a server that is a process of its own, without a proxy.
type backend struct {
	backendConfig
	framing   framing
	lineEnd   string
	engine    *engine
	startedAt int64

	mu       sync.Mutex
	random   *rand.Rand
	state    string
	sequence int
	running  int
}

// runBackend serves until SIGTERM arrives and the server has left.
func runBackend(c backendConfig) error {
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	b := newBackend(c)
	stopping, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	server := &http.Server{Handler: b}
	go func() {
		for stopping.Err() == nil {
			b.announce(stopping)
			sleep(stopping, 400*time.Millisecond)
		}
		b.leave()
		_ = server.Close()
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newBackend(c backendConfig) *backend {
	r := rand.New(rand.NewPCG(c.seed, 17))
	b := &backend{
		// Servers with consecutive seeds mark the ends of responses in all ways.
		backendConfig: c, framing: framing(c.seed % uint64(framings)), lineEnd: []string{"\n", "\r\n"}[r.IntN(2)],
		startedAt: time.Now().UnixMilli(), random: r, state: "ready",
	}
	if c.service == engineService {
		b.engine = &engine{orders: newOrders(&record{start: time.Now(), file: os.Stdout}), version: c.weights}
	}
	return b
}

// announce sends a heartbeat to one replica after the other until one acknowledges it.
func (b *backend) announce(ctx context.Context) {
	for _, control := range b.controls {
		b.mu.Lock()
		b.sequence++
		h := heartbeat{
			id: b.id, service: b.service, address: b.address, zone: zones[b.seed%uint64(len(zones))], software: b.software, state: b.state,
			sequence: b.sequence, startedAt: b.startedAt, models: b.engine.models(),
		}
		b.mu.Unlock()
		if h.send(ctx, control) == http.StatusOK {
			return
		}
	}
}

// leave announces that the server leaves, serves on for a while and leaves.
func (b *backend) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*leaveTime)
	defer cancel()
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.announce(ctx)
	sleep(ctx, leaveTime)
	for _, control := range b.controls {
		if post(ctx, "http://"+control+":8000/v1/Instances.Deregister/"+b.id, fmt.Sprintf(`{"born":%d}`, b.startedAt), time.Second) == http.StatusOK {
			return
		}
	}
}

// ServeHTTP serves streams and plain bodies. Each event says its software, attempt and ordinal, each body its length.
func (b *backend) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == runningPath {
		b.mu.Lock()
		defer b.mu.Unlock()
		_, _ = fmt.Fprint(w, b.running)
		return
	}
	if b.engine.serveControl(w, q) {
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if q.Header.Get("Expect-Instance") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if !b.engine.admits(w, q) {
		return
	}
	w.Header().Set("Response-Stamp", "mark")
	var pieces []string
	if strings.HasPrefix(q.URL.Path, "/stream/") || strings.HasPrefix(q.URL.Path, "/prompt/") {
		w.Header().Set("Content-Type", "text/event-stream")
		pieces = b.events(q, id)
	} else {
		pieces = b.body(id)
	}
	b.write(w, q, pieces)
}

// events returns the events of a stream that the caller hasn't had.
func (b *backend) events(q *http.Request, attempt string) []string {
	f, first, count := numberings[b.numbering], 1, streamEvents
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = f.after(last)
	}
	if strings.Contains(q.URL.Path, "/"+longPrefix) {
		count = longEvents
	}
	var all []string
	for n := first; n <= count; n++ {
		lines := []string{fmt.Sprint("id: ", f(n)), fmt.Sprintf("data: %s %s %d", b.software, attempt, n), "", ""}
		all = append(all, strings.Join(lines, b.lineEnd))
	}
	return all
}

// body returns the pieces of a plain body.
func (b *backend) body(attempt string) []string {
	b.mu.Lock()
	n := b.random.IntN(maxBody)
	b.mu.Unlock()
	rest := plainBody(attempt, n)
	var all []string
	for ; len(rest) > pieceLength; rest = rest[pieceLength:] {
		all = append(all, rest[:pieceLength])
	}
	return append(all, rest)
}

// plainBody returns a body that says its attempt and length.
func plainBody(attempt string, n int) string {
	return fmt.Sprintf("%s %d %s.", attempt, n, strings.Repeat("x", n))
}

// write writes the pieces of a response, or cuts its head at times.
func (b *backend) write(w http.ResponseWriter, q *http.Request, pieces []string) {
	length := 0
	for _, p := range pieces {
		length += len(p)
	}
	b.mu.Lock()
	cut, seed := b.random.IntN(cutInterval) == 0, b.random.Uint64()
	b.running++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.running--
	}()
	if cut {
		cutHead(w, rand.New(rand.NewPCG(seed, 3)), length)
		return
	}
	o, err := newOutput(w, b.framing, length)
	if err != nil {
		return
	}
	defer o.close()
	for _, p := range pieces {
		if o.write(p) != nil || q.Context().Err() != nil {
			return
		}
		time.Sleep(backendPause)
	}
}
