package service

import (
	"context"
	"testing"
)

// An entry's VM is frozen for so long that its claims are abandoned. When it
// goes on, its callers must be served again without a restart of the entry.
func TestEntryThatWasTakenForDeadServesAgain(t *testing.T) {
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
