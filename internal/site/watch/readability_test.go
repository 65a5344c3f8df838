package watch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/site/rowtable"
)

// oddAnswer is an Answer of another release, some of whose rows have another form.
type oddAnswer struct {
	Epoch    uint64 `cbor:"epoch"`
	Revision uint64 `cbor:"number"`
	Rows     []any  `cbor:"rows"`
	CaughtUp bool   `cbor:"caught-up"`
}

// serveOdd serves polls with a fixed answer.
func serveOdd[R any](t *testing.T, answer R) string {
	t.Helper()
	n := node(t, keys.Control)
	method := rpc.Method[Poll, R]{Name: Watch.Name, Roles: Watch.Roles}
	rpc.Handle(n, method, func(ctx context.Context, _ rpc.Peer, p Poll) (R, error) {
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
		return answer, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.Serve(ctx) }()
	return n.Address()
}

// Guards against a row that can't be read keeping all others, and all later ones, from a process.
func TestUnreadableRowCostsOnlyItself(t *testing.T) {
	row := rowtable.Row{Topic: 4, Key: "k\xff", Value: []byte{1}}
	address := serveOdd(t, oddAnswer{Epoch: 1, Revision: 3, CaughtUp: true, Rows: []any{"odd", row, []any{4, 5, 6}}})
	counters, applied := metrics.NewSet(), make(chan Answer, 1)
	f := NewFollower(FollowerConfig{Method: Watch, Node: node(t, keys.Entry), Watcher: "e", Entry: true, Metrics: counters, Apply: func(_ string, a Answer, _ time.Time) {
		select {
		case applied <- a:
		default:
		}
	}})
	ctx, cancel := context.WithCancel(context.Background())
	f.Follow(ctx, []string{address})
	defer f.Wait()
	defer cancel()
	select {
	case a := <-applied:
		if a.Rows.Unreadable() != 2 || a.Rows[0].Key != row.Key || a.Revision != 3 {
			t.Errorf("got %+v", a)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the answer is not applied")
	}
	if n := counters.GetOrCreateCounter(`hornbeamwood_site_unreadable_total{what="row"}`).Get(); n < 2 {
		t.Errorf("%d unreadable rows are counted", n)
	}
}

// Guards against a process that can read nothing of what the replicas answer and doesn't say so.
func TestProcessThatReadsNoAnswerIsBlind(t *testing.T) {
	f := NewFollower(FollowerConfig{Method: Watch, Node: node(t, keys.Entry), Watcher: "e", Entry: true, Apply: func(string, Answer, time.Time) {
		t.Error("an unreadable answer is applied")
	}}).(*follower)
	ctx, cancel := context.WithCancel(context.Background())
	f.Follow(ctx, []string{serveOdd(t, "odd")})
	defer f.Wait()
	defer cancel()
	for deadline := time.Now().Add(2 * unreadableTimeout); !f.Blind(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the process isn't blind")
		}
	}
}

func TestReadability(t *testing.T) {
	malformed := verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "malformed-answer", "x").WithCause(codec.ErrMalformed)
	r := newReadability(FollowerConfig{Method: Watch})
	start := r.readAt
	late := start.Add(unreadableTimeout)
	r.failed("a", context.DeadlineExceeded, late)
	if r.blind(late) {
		t.Error("a process that is cut off is blind")
	}
	r.failed("a", malformed, late)
	if !r.blind(late) || r.blind(late.Add(unreadableTimeout)) {
		t.Error("a process is blind only while unreadable answers arrive")
	}
	r.readable("b", Answer{}, late)
	if r.blind(late) {
		t.Error("a process that reads another replica's answers is blind")
	}
}
