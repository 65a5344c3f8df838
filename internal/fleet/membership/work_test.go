package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// dispatch is one request that was sent to a server.
type dispatch struct {
	at     time.Time
	tokens int64
}

// naivePending recounts all requests that were sent in or after the step of measured.
func naivePending(w *work, all []dispatch, measured time.Time) (requests int, tokens int64) {
	for _, d := range all {
		if w.step(d.at) >= w.step(measured) {
			requests++
			tokens += d.tokens
		}
	}
	return requests, tokens
}

// The bucketed counts must match a full count of all requests, or the routing
// overloads a server whose load report lags.
func TestPendingAgreesWithNaiveCount(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 3))
		start := time.Unix(1000, 0)
		w, now := newWork(start), start
		server := KeyOf("engine-1")
		var own, peers []dispatch
		for range 300 {
			now = now.Add(time.Duration(r.IntN(120)) * time.Millisecond)
			tokens := r.Int64N(5000)
			if r.IntN(2) == 0 {
				w.Sent(now, server, tokens)
				own = append(own, dispatch{at: now, tokens: tokens})
			} else {
				made := now.Add(-time.Duration(r.IntN(300)) * time.Millisecond)
				w.addPeerWork(made, []WorkRow{{Server: server.prefix(), Requests: 1, Tokens: tokens}})
				peers = append(peers, dispatch{at: made, tokens: tokens})
			}
			measured := now.Add(-time.Duration(r.IntN(3000)) * time.Millisecond)
			var want Pending
			want.Requests, want.Tokens = naivePending(w, own, measured)
			want.PeerRequests, want.PeerTokens = naivePending(w, peers, measured)
			if got := w.Pending(now, server, measured); got != want {
				t.Fatalf("seed %d: got %+v, want %+v", seed, got, want)
			}
		}
	}
}

// Each request must be reported to the peers exactly once. A second report would
// count it twice; without a report, both entries would send to the same server.
func TestWorkIsReportedOnce(t *testing.T) {
	w := newWork(time.Unix(1000, 0))
	w.Sent(time.Unix(1001, 0), KeyOf("a"), 10)
	w.Sent(time.Unix(1001, 0), KeyOf("a"), 5)
	w.Sent(time.Unix(1001, 0), KeyOf("b"), 1)
	rows := w.unreported()
	if len(rows) != 2 || rows[0].Requests+rows[1].Requests != 3 || rows[0].Tokens+rows[1].Tokens != 16 {
		t.Errorf("reported %+v", rows)
	}
	if again := w.unreported(); len(again) != 0 {
		t.Errorf("reported again %+v", again)
	}
}
