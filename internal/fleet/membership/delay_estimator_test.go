package membership

import (
	"testing"
	"time"
)

// A server's VM is paused for ten seconds together with its clock. Its
// announcements then look delayed by ten seconds; if that estimate were never
// corrected, the server would never get requests again.
func TestPausedServerComesBack(t *testing.T) {
	var x delayEstimator
	now, uptime := time.Unix(1000, 0), time.Hour
	for range 60 {
		if d := x.observe(now, uptime); d != 0 {
			t.Fatalf("delay %v before the pause", d)
		}
		now, uptime = now.Add(time.Second), uptime+time.Second
	}
	now = now.Add(10 * time.Second)
	if d := x.observe(now, uptime); d != 10*time.Second {
		t.Errorf("delay %v right after the pause", d)
	}
	for range 2 * int(directWindow/time.Second) {
		now, uptime = now.Add(time.Second), uptime+time.Second
		x.observe(now, uptime)
	}
	if d := x.observe(now, uptime); d != 0 {
		t.Errorf("delay %v half a minute after the pause", d)
	}
}

// The entry was suspended for a minute, and the announcements queued in its
// socket arrive all at once. Each must get its real age, although the server's
// earlier announcements have left the window.
func TestBacklogIsOld(t *testing.T) {
	var x delayEstimator
	now, uptime := time.Unix(1000, 0), time.Hour
	for range 60 {
		x.observe(now, uptime)
		now, uptime = now.Add(time.Second), uptime+time.Second
	}
	resumed := now.Add(time.Minute)
	for i := range 10 {
		want := time.Minute - time.Duration(i)*time.Second
		if d := x.observe(resumed, uptime+time.Duration(i)*time.Second); d != want {
			t.Errorf("announcement %d: delay %v, want %v", i, d, want)
		}
	}
}

// The same pause with several entries, which share their bounds of the server's
// start. If gossip renewed old bounds forever, none of the entries would send
// requests to the server again.
func TestPausedServerComesBackEverywhere(t *testing.T) {
	for seed := range uint64(4) {
		sim := newSimulation(seed)
		sim.faultless = true
		sim.run(20 * time.Second)
		for _, s := range sim.servers {
			s.started += 10 * time.Second
			s.next = sim.now + 10*time.Second
		}
		sim.run(90 * time.Second)
		sim.refused = 0
		sim.run(110 * time.Second)
		if sim.refused > 0 {
			t.Errorf("seed %d: %d checks refused a server a minute after its pause", seed, sim.refused)
		}
	}
}
