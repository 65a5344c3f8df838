package parts

import (
	"testing"
	"time"

	"hornbeamwood/internal/site/stores"
)

// An engine's memory is small: what it read long ago has made room for other
// prompts. An entry that believes it there sends the next prompt to it for
// nothing, and the part is read again beside a store that has it.
func TestOldPartsAreForgotten(t *testing.T) {
	m, now := NewResidency(), time.Unix(1, 0)
	for _, id := range []string{"a", "b", "c"} {
		m.Note("s", "x", id, 300, 1000, now)
	}
	if m.Holds("s", "x", "a", 300, now) || len(m.Holders("x", "a", 300, now)) != 0 || !m.Holds("s", "x", "c", 300, now) {
		t.Error("the oldest part should be gone, the newest be there")
	}
	m.Note("t", "x", "c", 300, 1000, now.Add(time.Second))
	if h := m.Holders("x", "c", 300, now); len(h) != 2 || h[0].Server != "t" {
		t.Errorf("holders %v", h)
	}
	m.Forget("t")
	if h := m.Holders("x", "c", 300, now); len(h) != 1 || h[0].Server != "s" {
		t.Errorf("holders %v after one was lost", h)
	}
}

// An engine drops a part to make room for a request that runs. An entry that
// goes by what it sent there sends the next prompt to it, the whole part is read
// again, and the caller's first event comes late. What the engine itself says
// counts for more, in both directions.
func TestEnginesOwnWordCountsForMore(t *testing.T) {
	const least, size = 1000, 4000
	m, now := NewResidency(), time.Unix(1, 0)
	part := stores.Part{Salt: "x", ID: "a"}
	m.Note("s", "x", "a", size, 100_000, now)
	m.Confirm("s", map[uint64]int{part.Hash(): size}, least)
	if h := m.Holders("x", "a", size, now); len(h) != 1 || !h[0].Since.IsZero() {
		t.Errorf("holders %v", h)
	}
	m.Confirm("s", map[uint64]int{part.Hash(): size / 2}, least)
	if m.Holds("s", "x", "a", size, now) {
		t.Error("half a part counts as the whole")
	}
	m.Confirm("s", map[uint64]int{}, least)
	if m.Holds("s", "x", "a", size, now) || len(m.Holders("x", "a", size, now)) != 0 {
		t.Error("a part that the engine has dropped is still believed to be there")
	}
	m.Note("s", "x", "a", size, 100_000, now)
	if !m.Holds("s", "x", "a", size, now.Add(pendingFor)) || m.Holds("s", "x", "a", size, now.Add(pendingFor+1)) {
		t.Error("a part that was just sent there should count for a while, without the engine's word no longer")
	}
	m.Note("s", "x", "short", 300, 100_000, now)
	if !m.Holds("s", "x", "short", 300, now.Add(time.Hour)) {
		t.Error("nothing is said of short parts; the guess should count")
	}
	m.Confirm("s", nil, 0)
	if !m.Holds("s", "x", "a", size, now.Add(time.Hour)) {
		t.Error("without the engine's word the guess should count")
	}
}
