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

// A claim's commit times out, the entry takes it back, and the claim arrives
// after all. Were it granted then, nobody would dispatch it, and the caller's
// resends would be told for an hour that the call is in progress.
func TestLateClaimAfterReleaseIsRefused(t *testing.T) {
	s := New()
	c := claimOf("k", "late", 1)
	apply(t, s, start, Command{Release: &Release{Scope: c.Scope, Attempt: "late"}})
	if r := apply(t, s, start, Command{Claim: c}); r.Kind != Stale {
		t.Fatalf("the late claim was %s", r.Kind)
	}
	if r := apply(t, s, start, Command{Claim: claimOf("k", "next", 1)}); r.Kind != Granted {
		t.Fatalf("the resend was %s", r.Kind)
	}
}

// An entry dies with an open claim and nobody reports it. The claim must not
// vanish with its time: the call may have run, and a resend would run it again.
func TestForgottenClaimBecomesUnknown(t *testing.T) {
	s := New()
	apply(t, s, start, Command{Claim: claimOf("k", "a", 1)})
	later := start.Add(1000 * time.Hour)
	if r := apply(t, s, later, Command{Claim: claimOf("k", "b", 1)}); r.Kind != Unknown {
		t.Fatalf("the resend was %s", r.Kind)
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

// A hundred thousand outcomes expire at the same moment. A command that
// removed them all at once would stop the control log for everyone meanwhile.
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

// A command that is no command, or one beyond the bounds, reaches the log from
// a broken entry. It must neither stop the replica nor change anything.
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

// shardsOf returns the encoded records, without the place of the sweep, which moves with each command.
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

func TestRestoreRefusesForeignBytes(t *testing.T) {
	for _, b := range [][]byte{nil, {0xff}, mustMarshal(t, image{}), mustMarshal(t, image{Shards: make([]shardImage, 3)})} {
		if err := New().Restore(b); err == nil {
			t.Errorf("%x was accepted", b)
		}
	}
}
