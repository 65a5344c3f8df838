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

// ErrCrashed as the cancellation cause of Run's context ends a stand-in abruptly, like the loss of its VM.
var ErrCrashed = errors.New("standin: crashed")

// drainPoll is how often a leaving stand-in checks whether its last request has ended.
const drainPoll = 20 * time.Millisecond

// minDrainTime is how long a leaving stand-in keeps serving after it has announced that it is leaving, so that every entry gets the update.
const minDrainTime = 3 * time.Second

const headerTimeout = 5 * time.Second

// server holds what the common code needs from each kind of stand-in.
type server struct {
	handler      http.Handler
	announcement func(sequence uint64) any
	background   func(ctx context.Context, a backend.Announcer)
	leave        func()
	running      func() int
}

// Run serves a stand-in of the given kind until ctx ends and then shuts it down
// gracefully. Rates and sizes that f omits have default values. Run writes one line
// to w when the stand-in is ready.
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
	h := &http.Server{Handler: backend.WithBackoffs(s.handler, time.Duration(f.Backoff.Interval), time.Duration(f.Backoff.Time)), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- h.Serve(l) }()
	fmt.Fprintf(w, "ready %s\n", l.Addr())

	a := backend.NewAnnouncer(backend.Config{Entries: f.Entries, Key: f.AnnounceKey, Announcement: s.announcement})
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	time.AfterFunc(time.Duration(f.StartDelay), func() { startBackground(background, s, a) })
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	if errors.Is(context.Cause(ctx), ErrCrashed) {
		stopBackground()
		return h.Close()
	}
	drain(background, s, a)
	if err := h.Shutdown(background); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func startBackground(ctx context.Context, s server, a backend.Announcer) {
	if s.announcement != nil {
		go a.Run(ctx)
	}
	if s.background != nil {
		go s.background(ctx, a)
	}
}

// drain announces that the server is leaving and waits until its last request has ended.
func drain(ctx context.Context, s server, a backend.Announcer) {
	if s.leave == nil {
		return
	}
	s.leave()
	_ = a.Announce(ctx)
	end := time.Now().Add(minDrainTime)
	for time.Now().Before(end) || s.running() > 0 {
		time.Sleep(drainPoll)
	}
}
