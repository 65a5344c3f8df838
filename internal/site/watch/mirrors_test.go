package watch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/site/rowtable"
)

const (
	relayedTopic rowtable.Topic = 6
	directTopic  rowtable.Topic = 15
	// counted is how recently an entry must have polled to be counted.
	counted = 10 * time.Second
)

func relayed(t rowtable.Topic) bool { return t == relayedTopic }

// newTestMirrors returns the mirrors of a relay that has just started, and their clock, which the test advances.
func newTestMirrors() (*mirrors, *time.Duration) {
	now := time.Hour
	return newMirrors(MirrorsConfig{Relayed: relayed, RoundInterval: func(int) time.Duration { return 0 }}, func() time.Duration { return now }), &now
}

// testMirrors is newTestMirrors of a relay that has run for long enough to acknowledge revisions.
func testMirrors() (*mirrors, *time.Duration) {
	x, now := newTestMirrors()
	*now += counted
	return x, now
}

// poll returns the answer to an entry's poll.
func (x *mirrors) poll(watcher string, positions map[string]Position) []HolderState {
	x.recordPoll(HolderStatesPoll{Watcher: watcher, Positions: positions})
	return x.holderStatesSince(positions)
}

// modelEntry is an entry of the property test: which of the holder's changes it has, and the positions of its mirrors.
type modelEntry struct {
	positions map[string]Position
	// has is the holder's revision up to which it has all relayed rows.
	has      uint64
	polledAt time.Duration
}

// Guards against a part being freed while an entry may still have it fetched, because its relay
// acknowledged a revision that the entry doesn't have, also of a row whose value is that of an earlier change again.
func TestRelayAcknowledgesOnlyWhatItsEntriesHave(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("the acknowledged revision is one that all entries have", prop.ForAll(func(seed uint64) bool {
		return acknowledgementsHold(t, rand.New(rand.NewPCG(seed, 7)))
	}, gen.UInt64()))
	p.TestingRun(t)
}

func acknowledgementsHold(t *testing.T, r *rand.Rand) bool {
	t.Helper()
	x, now := testMirrors()
	holder, applied := rowtable.New(1), uint64(0)
	entries := make([]modelEntry, 1+r.IntN(5))
	// With few values, rows often change and change back between two polls.
	values := []int{2, 256}[r.IntN(2)]
	for i := range entries {
		entries[i].positions = map[string]Position{}
	}
	for step := range 200 {
		*now += time.Duration(r.IntN(600)) * time.Millisecond
		switch r.IntN(4) {
		case 0:
			topic := relayedTopic
			if r.IntN(3) == 0 {
				topic = directTopic
			}
			holder.Put(topic, fmt.Sprint(r.IntN(8)), []byte{byte(r.IntN(values))})
		case 1:
			x.BeginPoll("holder")
			rows, revision := holder.Since(applied)
			x.Apply("holder", Answer{Epoch: 1, Fencing: 1, Revision: revision, Rows: rows})
			applied = revision
		default:
			e := &entries[r.IntN(len(entries))]
			answer := x.poll(fmt.Sprintf("%p", e), e.positions)
			e.polledAt = *now
			if len(answer) == 1 && r.IntN(3) > 0 {
				e.positions = map[string]Position{"holder": answer[0].Position}
				e.has = applied
			}
		}
		acknowledged := x.AcknowledgedRevision("holder", counted)
		for _, e := range entries {
			// An entry without a mirror uses nothing of the holder's.
			if len(e.positions) > 0 && *now-e.polledAt <= counted && acknowledged > e.has && relayedChange(holder, e.has, acknowledged) {
				t.Logf("step %d: the relay acknowledges revision %d, an entry has %d", step, acknowledged, e.has)
				return false
			}
		}
	}
	return true
}

// relayedChange returns whether the last change of any relayed row lies between two revisions.
func relayedChange(table rowtable.Table, after, upTo uint64) bool {
	rows, _ := table.Since(after)
	later, _ := table.Since(upTo)
	count := func(rows []rowtable.Row) int {
		n := 0
		for _, r := range rows {
			if relayed(r.Topic) {
				n++
			}
		}
		return n
	}
	return count(rows) > count(later)
}

// Guards against relayed rows being used as fresher than they are: their age counts from
// when the relay sent its poll.
func TestAgeCountsFromTheRelaysPoll(t *testing.T) {
	x, now := testMirrors()
	x.BeginPoll("holder")
	*now += time.Second
	x.Apply("holder", Answer{Epoch: 1, Fencing: 1, Revision: 1})
	*now += 2 * time.Second
	all := x.poll("e", nil)
	if len(all) != 1 || all[0].Age != 3*time.Second {
		t.Errorf("got %+v", all)
	}
	x.BeginPoll("holder")
	x.Apply("holder", Answer{Epoch: 1, Revision: 2})
	if all := x.poll("e", nil); all[0].Age != 3*time.Second {
		t.Errorf("the state of a replica that no longer holds the lease has age %s", all[0].Age)
	}
}

// Guards against a relay presenting its rows as fresh while it has only some of several answers.
func TestIncompleteStateIsNotFresh(t *testing.T) {
	x, now := testMirrors()
	x.BeginPoll("holder")
	x.Apply("holder", Answer{Epoch: 1, Fencing: 1, Revision: 1})
	*now += 3 * time.Second
	x.BeginPoll("holder")
	x.Apply("holder", Answer{Epoch: 1, Fencing: 1, Revision: 2, More: true})
	if all := x.poll("e", nil); all[0].Age != 3*time.Second {
		t.Errorf("an incomplete state has age %s", all[0].Age)
	}
	x.Apply("holder", Answer{Epoch: 1, Fencing: 1, Revision: 3})
	if all := x.poll("e", nil); all[0].Age != 0 {
		t.Errorf("the complete state has age %s", all[0].Age)
	}
}

// Guards against saturated links: rows of every replica that ever held the lease would be relayed.
func TestOnlyTheLatestHoldersAreRelayed(t *testing.T) {
	x, _ := testMirrors()
	for i, name := range []string{"b", "c", "a", "never"} {
		x.BeginPoll(name)
		a := Answer{Epoch: 1, Fencing: uint64(i + 1), Revision: 1, Rows: []rowtable.Row{{Topic: relayedTopic, Key: name, Value: []byte{1}}}}
		if name == "never" {
			a.Fencing = 0
		}
		x.Apply(name, a)
	}
	all := x.poll("e", nil)
	if len(all) != 2 || all[0].Address != "a" || all[1].Address != "c" || len(all[0].Rows) != 1 {
		t.Errorf("got %+v", all)
	}
}

// Guards against a new lease holder losing the lease because it has to send all rows to every entry of a large site.
func TestNewHolderSendsStoreRowsToRelaysOnly(t *testing.T) {
	table := rowtable.New(1)
	table.Put(directTopic, "server", []byte{1})
	for i := range 2000 {
		table.Put(relayedTopic, fmt.Sprintf("%020d", i), []byte{1, 2, 3})
	}
	s := &server{
		watchers: map[string]watcher{}, advanced: make(chan struct{}),
		Config: Config{Table: table, Excluded: relayed, RoundInterval: defaultRoundInterval, CaughtUp: func() bool { return true }, Holder: func() (uint64, int64) { return 1, 0 }},
	}
	rows := func(p Poll) int {
		a, err := s.watch(t.Context(), rpc.Peer{}, p)
		if err != nil {
			t.Fatal(err)
		}
		return len(a.Rows)
	}
	if n := rows(Poll{Watcher: "entry", Entry: true, Relayed: true}); n != 1 {
		t.Errorf("an entry behind a relay gets %d rows", n)
	}
	if n := rows(Poll{Watcher: "relay", Relay: true}); n < 1000 {
		t.Errorf("a relay gets %d rows", n)
	}
	if positions := s.AcknowledgedRevision(counted); positions != 0 {
		t.Errorf("revision %d is acknowledged though the relay has reported none", positions)
	}
	rows(Poll{Watcher: "relay", Relay: true, Epoch: table.Epoch(), Acknowledged: 1500})
	if positions := s.AcknowledgedRevision(counted); positions != 1500 {
		t.Errorf("revision %d is acknowledged for the entries behind the relay", positions)
	}
}

// Guards against a fetch of a withdrawn part by an entry behind a relay: the part's row has the value that it had before a
// list, and the relay, which missed what it had in between, must pass it on after that list.
func TestRowThatChangedBackIsRelayedAfterTheList(t *testing.T) {
	x, _ := testMirrors()
	holder, applied := rowtable.New(1), uint64(0)
	relay := func() {
		rows, revision := holder.Since(applied)
		x.Apply("holder", Answer{Epoch: 1, Fencing: 1, Revision: revision, Rows: rows})
		applied = revision
	}
	holder.Put(relayedTopic, "part", []byte{0})
	holder.Put(relayedTopic, "list", []byte{1})
	relay()
	positions := map[string]Position{"holder": x.poll("e", nil)[0].Position}
	holder.Renew(relayedTopic, "part", []byte{0})
	relay()
	if acknowledged := x.AcknowledgedRevision("holder", counted); acknowledged >= applied {
		t.Errorf("revision %d is acknowledged though the entry lacks the row", acknowledged)
	}
	if all := x.poll("e", positions); len(all) != 1 || len(all[0].Rows) != 1 || all[0].Rows[0].Key != "part" {
		t.Errorf("the entry gets %+v, want the row of the part", all)
	}
}

// Guards against a part being freed while an entry may still have it fetched: its relay was restarted, and the entry, which
// can't reach it, goes on with what it got before.
func TestRelayThatHasJustStartedAcknowledgesNothing(t *testing.T) {
	x, now := newTestMirrors()
	x.Apply("holder", Answer{Epoch: 1, Fencing: 1, Revision: 9, Rows: []rowtable.Row{{Topic: relayedTopic, Key: "part", Value: []byte{0}}}})
	if acknowledged := x.AcknowledgedRevision("holder", counted); acknowledged != 0 {
		t.Errorf("revision %d is acknowledged at once", acknowledged)
	}
	*now += counted
	if acknowledged := x.AcknowledgedRevision("holder", counted); acknowledged != 9 {
		t.Errorf("revision %d is acknowledged once no entry uses what it got before, want 9", acknowledged)
	}
}
