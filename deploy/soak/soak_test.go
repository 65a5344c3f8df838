package main

import (
	"context"
	"os"
	"testing"
	"time"
)

// shortRun is how long a seed is played under faults in the tests.
const shortRun = 6 * time.Second

// Processes are killed, stopped, paused and wiped, connections are slowed, reset
// and silenced, servers crash and leave, documents race. Whatever the order: each
// answer is whole and the caller's own, what must not repeat runs at most once,
// a refusal is true, and what was acknowledged is read back.
func TestShortSoak(t *testing.T) {
	folder, program, err := prepare(t.Context(), t.TempDir(), os.Getenv("SOAK_PROGRAM"))
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range []uint64{1, 2} {
		r := run(context.Background(), runConfig{seed: seed, length: shortRun, program: program, folder: folder, replicas: usualReplicas, entries: usualEntries})
		t.Log(r)
		for _, b := range r.broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		if r.served < 100 {
			t.Errorf("seed %d: only %d requests were served", seed, r.served)
		}
	}
}
