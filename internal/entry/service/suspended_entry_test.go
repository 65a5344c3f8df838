package service

import (
	"context"
	"testing"
)

// An entry's VM is suspended for so long that its claims are abandoned. After it
// resumes, the entry must serve its callers without a restart.
func TestEntryThatWasDeclaredDeadServesAgain(t *testing.T) {
	log, fake := newFakeLog(), newFakeService(t)
	c := New(Config{Log: log, Picker: onePicker(fake.address()), Entry: "e1", Incarnation: 7})
	if _, err := c.Abandon(context.Background(), "e1", 7); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Call(context.Background(), callOf("w", "k", "lot 7")); err != nil {
		t.Fatal(err)
	}
	if n := fake.ran("w", "k"); n != 1 {
		t.Fatalf("the call ran %d times", n)
	}
}
