package outbox

import (
	"context"
	"testing"
)

// One of two peers is suspended, and sending to it blocks. The other peer must
// still get its messages, and Post must not block.
func TestSuspendedPeerDelaysNoOther(t *testing.T) {
	got := make(chan int)
	o := New(Config[int]{Length: 2, Send: func(ctx context.Context, peer string, m int) {
		if peer == "suspended" {
			<-ctx.Done()
			return
		}
		got <- m
	}})
	for i := range 10 {
		o.Post("suspended", i)
	}
	o.Post("alive", 7)
	if m := <-got; m != 7 {
		t.Errorf("got %d", m)
	}
	o.Close()
	o.Post("late", 1)
}
