package membership

import (
	"testing"
	"time"
)

// A server's VM is paused for ten seconds and its clock stands still
// meanwhile. Its announcements look ten seconds late; were that held against
// it for ever, it would never get work again.
func TestPausedServerComesBack(t *testing.T) {
	var x transit
	now, uptime := time.Unix(1000, 0), time.Hour
	for range 60 {
		if d := x.arrived(now, uptime); d != 0 {
			t.Fatalf("delay %v before the pause", d)
		}
		now, uptime = now.Add(time.Second), uptime+time.Second
	}
	now = now.Add(10 * time.Second)
	if d := x.arrived(now, uptime); d != 10*time.Second {
		t.Errorf("delay %v right after the pause", d)
	}
	for range 2 * int(directWindow/time.Second) {
		now, uptime = now.Add(time.Second), uptime+time.Second
		x.arrived(now, uptime)
	}
	if d := x.arrived(now, uptime); d != 0 {
		t.Errorf("delay %v half a minute after the pause", d)
	}
}

// The entry was frozen for a minute. What waited in its socket comes all at
// once and is as old as it says, although the server's earlier announcements
// are long past.
func TestBacklogIsOld(t *testing.T) {
	var x transit
	now, uptime := time.Unix(1000, 0), time.Hour
	for range 60 {
		x.arrived(now, uptime)
		now, uptime = now.Add(time.Second), uptime+time.Second
	}
	thaw := now.Add(time.Minute)
	for i := range 10 {
		want := time.Minute - time.Duration(i)*time.Second
		if d := x.arrived(thaw, uptime+time.Duration(i)*time.Second); d != want {
			t.Errorf("announcement %d: delay %v, want %v", i, d, want)
		}
	}
}

// The same pause with several entries, which confirm to each other when the
// server started. Were old proofs renewed by gossip for ever, none of them
// would give the server work again.
func TestPausedServerComesBackEverywhere(t *testing.T) {
	for seed := range uint64(4) {
		w := newWorld(seed)
		w.calm = true
		w.run(20 * time.Second)
		for _, s := range w.servers {
			s.started += 10 * time.Second
			s.next = w.now + 10*time.Second
		}
		w.run(90 * time.Second)
		w.refused = 0
		w.run(110 * time.Second)
		if w.refused > 0 {
			t.Errorf("seed %d: %d checks refused a server a minute after its pause", seed, w.refused)
		}
	}
}
