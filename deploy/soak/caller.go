package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// followersPerCaller is how many requests a caller sends at a time.
	followersPerCaller = 8
	// followAttempts is how often a caller sends one request at most.
	followAttempts = 10
	// retryPause is the longest time that a caller waits after a failed attempt.
	retryPause = 300 * time.Millisecond
)

// followedKinds are the kinds of requests of callers, as often as they are drawn.
var followedKinds = []string{"stream", "stream", "prompt", "prompt", "read", "read", "once"}

// callerConfig holds what a caller needs that is a process of its own.
type callerConfig struct {
	name   string
	fronts []string
	// protocol is its HTTP version, closes is set if it asks for the end of each connection.
	protocol string
	closes   bool
	// long is set if it sends long streams only.
	long bool
	seed uint64
}

// caller is a caller that is a process of its own. It writes what it sees as lines.
type caller struct {
	callerConfig
	record *record
}

// runCaller sends requests until SIGTERM arrives.
func runCaller(c callerConfig) error {
	if len(c.fronts) == 0 {
		return errors.New("no front")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	x := &caller{callerConfig: c, record: &record{start: time.Now(), file: os.Stdout}}
	var all sync.WaitGroup
	for i := range followersPerCaller {
		all.Go(func() {
			f := &follower{caller: x, random: rand.New(rand.NewPCG(c.seed, 19+uint64(i)))}
			f.connections = connections{protocol: c.protocol, closes: c.closes, kept: map[string]*connection{}}
			defer f.connections.close()
			for n := 0; ctx.Err() == nil; n++ {
				f.follow(ctx, fmt.Sprintf("%s-%d-%d", c.name, i, n))
			}
		})
	}
	all.Wait()
	return nil
}

// follower sends the requests of a caller one after the other.
type follower struct {
	*caller
	random      *rand.Rand
	connections connections
}

// follow sends a request until it has been answered as whole.
func (f *follower) follow(ctx context.Context, name string) {
	kind := followedKinds[f.random.IntN(len(followedKinds))]
	s := &followedStream{name: name, want: streamEvents}
	if f.long {
		kind = []string{"stream", "prompt"}[f.random.IntN(2)]
		s.name, s.want = longPrefix+name, longEvents
	}
	stream := kind == "stream" || kind == "prompt"
	names := f.random.IntN(4) > 0
	for n := 0; n < followAttempts && ctx.Err() == nil; n++ {
		whole := false
		if stream {
			whole = f.sendStream(s, kind, n, names)
		} else {
			whole = f.sendPlain(fmt.Sprintf("%s-%d", name, n), kind)
		}
		if whole && len(s.faults) == 0 {
			f.record.note("whole %s %s %s attempt %d", f.protocol, kind, name, n)
		}
		if whole || kind == "once" {
			break
		}
		sleep(ctx, time.Duration(f.random.Int64N(int64(retryPause))))
	}
	for _, x := range s.faults {
		f.record.reportViolation("%s, HTTP/%s %s", x, f.protocol, kind)
	}
}

// sendStream sends one attempt of a stream and returns whether the stream has its last event or a fault.
func (f *follower) sendStream(s *followedStream, kind string, n int, names bool) bool {
	attempt := fmt.Sprintf("%s-%d", s.name, n)
	h := http.Header{"Attempt-Id": {attempt}}
	if kind == "prompt" {
		h.Set("Model", model)
		h.Set("Token-Counts", fmt.Sprintf("120,%d", s.want))
		h.Set("Prompt-Prefix", fmt.Sprintf("%x:80,%x:40", f.random.IntN(20), f.random.IntN(1<<30)))
	}
	if s.events > 0 {
		h.Set("Last-Event-Id", s.last)
		if names {
			h.Set("Resumes", s.first)
		}
	}
	status, err := f.connections.send(f.front(), "/"+kind+"/"+s.name, s.name, h, func(body io.Reader) error {
		return s.read(attempt, body)
	})
	f.noteFailure(attempt, kind, status, err)
	return s.events >= s.want || len(s.faults) > 0
}

// sendPlain sends a plain request and returns whether it was served.
func (f *follower) sendPlain(attempt, kind string) bool {
	status, err := f.connections.send(f.front(), "/"+kind+"/"+attempt, attempt, http.Header{"Attempt-Id": {attempt}}, func(body io.Reader) error {
		b, err := io.ReadAll(body)
		if err != nil {
			return err
		}
		var of string
		var n int
		if _, err := fmt.Sscan(string(b), &of, &n); err != nil || of != attempt || n > maxBody || string(b) != plainBody(attempt, n) {
			f.record.reportViolation("MIXED %s (%s, HTTP/%s) got as whole %d bytes: %.60q", attempt, kind, f.protocol, len(b), b)
		}
		return io.EOF
	})
	f.noteFailure(attempt, kind, status, err)
	return status == http.StatusOK && err == nil
}

// noteFailure notes an attempt that was not served as whole.
func (f *follower) noteFailure(attempt, kind string, status int, err error) {
	if status != http.StatusOK || err != nil {
		text := strings.ReplaceAll(fmt.Sprint(err), "\n", " ")
		f.record.note("failed %s %s %s status %d, %s", f.protocol, kind, attempt, status, text)
	}
}

func (f *follower) front() string { return f.fronts[f.random.IntN(len(f.fronts))] }
