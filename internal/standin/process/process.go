package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hornbeamwood/internal/standin/backend"
)

// ErrCrashed as the cause of a context's end ends a stand-in abruptly, like the loss of its VM.
var ErrCrashed = errors.New("standin: lost")

// drainPoll is how often a leaving stand-in looks whether its last request has ended.
const drainPoll = 20 * time.Millisecond

// noticeTime is how long a leaving stand-in stays after it said so, so that every entry can hear of it.
const noticeTime = 3 * time.Second

const headerTimeout = 5 * time.Second

// server is what each kind gives to the common part.
type server struct {
	handler      http.Handler
	announcement func(sequence uint64) any
	loops        func(ctx context.Context, a backend.Announcer)
	leave        func()
	running      func() int
}

// Run serves the stand-in of the given kind, with defaults for speeds and sizes that f leaves out, until ctx ends, then leaves gracefully; it writes one line to w when it serves.
func Run(ctx context.Context, k Kind, f File, w io.Writer) error {
	build, ok := builders[k]
	if !ok {
		return fmt.Errorf("standin: unknown kind %q", k)
	}
	l, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	s := build(f.withDefaults(), l.Addr().String())
	h := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- h.Serve(l) }()
	fmt.Fprintf(w, "ready %s\n", l.Addr())

	a := backend.NewAnnouncer(backend.Config{Entries: f.Entries, Key: f.AnnounceKey, Announcement: s.announcement})
	loops, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	time.AfterFunc(time.Duration(f.StartDelay), func() { startLoops(loops, s, a) })
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	if errors.Is(context.Cause(ctx), ErrCrashed) {
		stop()
		return h.Close()
	}
	drain(loops, s, a)
	if err := h.Shutdown(loops); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func startLoops(ctx context.Context, s server, a backend.Announcer) {
	if s.announcement != nil {
		go a.Run(ctx)
	}
	if s.loops != nil {
		go s.loops(ctx, a)
	}
}

// drain announces that the server leaves and waits for its last request.
func drain(ctx context.Context, s server, a backend.Announcer) {
	if s.leave == nil {
		return
	}
	s.leave()
	_ = a.Announce(ctx)
	until := time.Now().Add(noticeTime)
	for time.Now().Before(until) || s.running() > 0 {
		time.Sleep(drainPoll)
	}
}
