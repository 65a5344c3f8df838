package ledger

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/state"
)

var start = time.Unix(1_800_000_000, 0)

func apply(t testing.TB, s state.Section, at time.Time, c Command) Result {
	t.Helper()
	r, err := codec.Unmarshal[Result](s.Apply(at, mustMarshal(t, c)))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func claimOf(key, attempt string, incarnation uint64) *Claim {
	return &Claim{
		Scope: Scope{Workspace: "w", Service: "s", Key: key}, Digest: DigestOf("POST", "/", nil),
		Entry: "e", Incarnation: incarnation, Attempt: attempt, Keep: time.Hour,
	}
}

// Guards against granting a claim that arrives after its release, as happens when
// the claim's commit times out and the entry releases it. No entry would dispatch
// the call, and resends would be answered as busy for an hour.
func TestLateClaimAfterReleaseIsRefused(t *testing.T) {
	s := New()
	c := claimOf("k", "late", 1)
	apply(t, s, start, Command{Release: &Release{Scope: c.Scope, Attempt: "late"}})
	if r := apply(t, s, start, Command{Claim: c}); r.Kind != Stale {
		t.Fatalf("result of the late claim: %s", r.Kind)
	}
	if r := apply(t, s, start, Command{Claim: claimOf("k", "next", 1)}); r.Kind != Granted {
		t.Fatalf("result of the resend: %s", r.Kind)
	}
}

// Guards against removing the expired claim of an entry that died unnoticed: the
// call may have run, and a resend would run it again.
func TestForgottenClaimBecomesUnknown(t *testing.T) {
	s := New()
	apply(t, s, start, Command{Claim: claimOf("k", "a", 1)})
	later := start.Add(1000 * time.Hour)
	if r := apply(t, s, later, Command{Claim: claimOf("k", "b", 1)}); r.Kind != Unknown {
		t.Fatalf("result of the resend: %s", r.Kind)
	}
	b, err := s.Query(mustMarshal(t, Query{Unknown: &UnknownsQuery{Workspace: "w"}}))
	if err != nil {
		t.Fatal(err)
	}
	u, err := codec.Unmarshal[Unknowns](b)
	if err != nil || len(u.Calls) != 1 || u.Calls[0].Attempt != "a" {
		t.Fatalf("got %+v, %v", u, err)
	}
}

// Guards against one command that removes all records which expire at the same
// time: with a hundred thousand of them it would block the control log.
func TestExpiryIsSpreadOverCommands(t *testing.T) {
	s := New().(*ledger)
	const records = 2000
	for i := range records {
		key := fmt.Sprintf("k%d", i)
		c := claimOf(key, key, 1)
		apply(t, s, start, Command{Claim: c})
		apply(t, s, start, Command{Outcome: &Outcome{Scope: c.Scope, Attempt: key, Digest: c.Digest}})
	}
	later := start.Add(2 * time.Hour)
	before := s.countsOf("").Outcomes
	apply(t, s, later, Command{Claim: claimOf("new", "new", 1)})
	removed := before - s.countsOf("").Outcomes
	if removed < 1 || removed > 2*expiryBatch+1 {
		t.Fatalf("one command removed %d records", removed)
	}
	for range records {
		apply(t, s, later, Command{Abandon: &Abandon{Entry: "x", Incarnation: 1}})
	}
	apply(t, s, later, Command{Claim: claimOf("k1", "again", 1)})
	if c := s.countsOf("w"); c.Outcomes > records/2 || c.Live != 2 {
		t.Fatalf("after %d commands there are %+v", records, c)
	}
}

// Guards against a malformed or oversized command of a faulty entry that stops the
// replica or changes its state.
func TestMalformedCommandsChangeNothing(t *testing.T) {
	s := New()
	c := claimOf("k", "a", 1)
	apply(t, s, start, Command{Claim: c})
	before := shardsOf(t, s)
	huge := &Outcome{Scope: c.Scope, Attempt: "a", Digest: c.Digest, Answer: Answer{Body: make([]byte, MaxBody+1)}}
	noKey := claimOf("", "b", 1)
	for _, b := range [][]byte{nil, {0xff}, mustMarshal(t, Command{}), mustMarshal(t, Command{Outcome: huge}), mustMarshal(t, Command{Claim: noKey})} {
		r, err := codec.Unmarshal[Result](s.Apply(start, b))
		if err != nil || r.Kind != Invalid {
			t.Fatalf("got %+v, %v", r, err)
		}
	}
	if !bytes.Equal(before, shardsOf(t, s)) {
		t.Fatal("a malformed command changed the state")
	}
}

// shardsOf returns the encoded records without the sweep's cursor, which advances with each command.
func shardsOf(t *testing.T, s state.Section) []byte {
	t.Helper()
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	i, err := codec.Unmarshal[image](b)
	if err != nil {
		t.Fatal(err)
	}
	return mustMarshal(t, i.Shards)
}

func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	for _, b := range [][]byte{nil, {0xff}, mustMarshal(t, image{}), mustMarshal(t, image{Shards: make([]shardImage, 3)})} {
		if err := New().Restore(b); err == nil {
			t.Errorf("%x was accepted", b)
		}
	}
}
