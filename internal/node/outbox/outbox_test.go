package outbox

import (
	"context"
	"testing"
)

// One of two peers is frozen and what is sent to it hangs. The other one must
// get its messages all the same, and whoever posts must not wait.
func TestFrozenPeerHoldsUpNobody(t *testing.T) {
	got := make(chan int)
	o := New(Config[int]{Length: 2, Send: func(ctx context.Context, peer string, m int) {
		if peer == "frozen" {
			<-ctx.Done()
			return
		}
		got <- m
	}})
	for i := range 10 {
		o.Post("frozen", i)
	}
	o.Post("alive", 7)
	if m := <-got; m != 7 {
		t.Errorf("got %d", m)
	}
	o.Close()
	o.Post("late", 1)
}
