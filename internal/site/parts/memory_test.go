package parts

import (
	"testing"
	"time"
)

// An engine's memory is small: what it read long ago has made room for other
// prompts. An entry that believes it there sends the next prompt to it for
// nothing, and the part is read again beside a store that has it.
func TestOldPartsAreForgotten(t *testing.T) {
	m, now := NewMemory(), time.Unix(1, 0)
	for _, id := range []string{"a", "b", "c"} {
		m.Note("s", "x", id, 300, 1000, now)
	}
	if m.Holds("s", "x", "a") || len(m.Holders("x", "a")) != 0 || !m.Holds("s", "x", "c") {
		t.Error("the oldest part should be gone, the newest be there")
	}
	m.Note("t", "x", "c", 300, 1000, now.Add(time.Second))
	if h := m.Holders("x", "c"); len(h) != 2 || h[0].Server != "t" {
		t.Errorf("holders %v", h)
	}
	m.Forget("t")
	if h := m.Holders("x", "c"); len(h) != 1 || h[0].Server != "s" {
		t.Errorf("holders %v after one was lost", h)
	}
}
