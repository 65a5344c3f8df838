package parts

import (
	"testing"
	"time"

	"hornbeamwood/internal/site/stores"
)

// Guards against routing to a part that was evicted from an engine's memory long ago: the part
// would be prefilled again although a store has it.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	r, now := NewResidency(), time.Unix(1, 0)
	for _, id := range []string{"a", "b", "c"} {
		r.RecordSent("s", "x", id, 300, 1000, now)
	}
	if r.Holds("s", "x", "a", 300, now) || len(r.Holders("x", "a", 300, now)) != 0 || !r.Holds("s", "x", "c", 300, now) {
		t.Error("the oldest part should be evicted and the newest cached")
	}
	r.RecordSent("t", "x", "c", 300, 1000, now.Add(time.Second))
	if h := r.Holders("x", "c", 300, now); len(h) != 2 || h[0].Server != "t" {
		t.Errorf("holders %v", h)
	}
	r.Forget("t")
	if h := r.Holders("x", "c", 300, now); len(h) != 1 || h[0].Server != "s" {
		t.Errorf("holders %v after one was removed", h)
	}
}

// Guards against trusting what was sent to an engine over the engine's own report. An engine
// evicts parts for running requests; a prompt routed to it by an assumption has its whole part
// prefilled again, and the caller's first event comes late. A report takes precedence both ways.
func TestReportTakesPrecedenceOverAssumption(t *testing.T) {
	const minTokens, size = 1000, 4000
	r, now := NewResidency(), time.Unix(1, 0)
	part := stores.Part{Salt: "x", ID: "a"}
	r.RecordSent("s", "x", "a", size, 100_000, now)
	r.ApplyReport("s", map[uint64]int{part.Hash(): size}, minTokens)
	if h := r.Holders("x", "a", size, now); len(h) != 1 || !h[0].SentAt.IsZero() {
		t.Errorf("holders %v", h)
	}
	r.ApplyReport("s", map[uint64]int{part.Hash(): size / 2}, minTokens)
	if r.Holds("s", "x", "a", size, now) {
		t.Error("half a part counts as cached")
	}
	r.ApplyReport("s", map[uint64]int{}, minTokens)
	if r.Holds("s", "x", "a", size, now) || len(r.Holders("x", "a", size, now)) != 0 {
		t.Error("a part that the engine has evicted still counts as cached")
	}
	r.RecordSent("s", "x", "a", size, 100_000, now)
	if !r.Holds("s", "x", "a", size, now.Add(pendingTimeout)) || r.Holds("s", "x", "a", size, now.Add(pendingTimeout+1)) {
		t.Error("a part that was just sent should count for pendingTimeout, and without a report no longer")
	}
	r.RecordSent("s", "x", "short", 300, 100_000, now)
	if !r.Holds("s", "x", "short", 300, now.Add(time.Hour)) {
		t.Error("short parts are not reported; the assumption should count")
	}
	r.ApplyReport("s", nil, 0)
	if !r.Holds("s", "x", "a", size, now.Add(time.Hour)) {
		t.Error("without a report the assumption should count")
	}
}
