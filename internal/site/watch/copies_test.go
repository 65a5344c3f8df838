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
	// counted is within which time the entries that asked are counted.
	counted = 10 * time.Second
)

func relayed(t rowtable.Topic) bool { return t == relayedTopic }

// testCopies returns copies whose clock the test moves.
func testCopies() (*copies, *time.Duration) {
	now := time.Hour
	return newCopies(MirrorsConfig{Relayed: relayed, Pause: func(int) time.Duration { return 0 }}, func() time.Duration { return now }), &now
}

// asks has an entry ask and returns the answer.
func (x *copies) asks(watcher string, known map[string]Position) []HolderState {
	x.note(HolderStatesPoll{Watcher: watcher, Positions: known})
	return x.since(known)
}

// modelEntry is an entry in the property: which of the holder's changes it has, and how far it believes its copy to go.
type modelEntry struct {
	known map[string]Position
	// has is up to which of the holder's changes it has all relayed rows.
	has   uint64
	asked time.Duration
}

// Guards against a part being freed while an entry whose relay claims otherwise still has it fetched.
func TestRelayNeverClaimsMoreThanItsEntriesKnow(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("known is what all have", prop.ForAll(func(seed uint64) bool {
		return claimsHold(t, rand.New(rand.NewPCG(seed, 7)))
	}, gen.UInt64()))
	p.TestingRun(t)
}

func claimsHold(t *testing.T, r *rand.Rand) bool {
	t.Helper()
	x, now := testCopies()
	holder, taken := rowtable.New(1), uint64(0)
	entries := make([]modelEntry, 1+r.IntN(5))
	for i := range entries {
		entries[i].known = map[string]Position{}
	}
	for step := range 200 {
		*now += time.Duration(r.IntN(600)) * time.Millisecond
		switch r.IntN(4) {
		case 0:
			topic := relayedTopic
			if r.IntN(3) == 0 {
				topic = directTopic
			}
			holder.Put(topic, fmt.Sprint(r.IntN(8)), []byte{byte(step)})
		case 1:
			x.BeginPoll("holder")
			rows, number := holder.Since(taken)
			x.Apply("holder", Answer{Epoch: 1, Fencing: 1, Revision: number, Rows: rows})
			taken = number
		default:
			e := &entries[r.IntN(len(entries))]
			answer := x.asks(fmt.Sprintf("%p", e), e.known)
			e.asked = *now
			if len(answer) == 1 && r.IntN(3) > 0 {
				e.known = map[string]Position{"holder": answer[0].Position}
				e.has = taken
			}
		}
		claimed := x.AcknowledgedRevision("holder", counted)
		for _, e := range entries {
			// An entry without a copy believes nothing of the holder.
			if len(e.known) > 0 && *now-e.asked <= counted && claimed > e.has && hasNews(holder, e.has, claimed) {
				t.Logf("step %d: the relay claims %d, an entry has %d", step, claimed, e.has)
				return false
			}
		}
	}
	return true
}

// hasNews returns whether a relayed row changed after a number and not after another one.
func hasNews(b rowtable.Table, after, upTo uint64) bool {
	rows, _ := b.Since(after)
	later, _ := b.Since(upTo)
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

// Guards against the word of a relay passing for fresher than it is.
func TestRelayedWordIsAsOldAsItsQuestion(t *testing.T) {
	x, now := testCopies()
	x.BeginPoll("holder")
	*now += time.Second
	x.Apply("holder", Answer{Epoch: 1, Fencing: 1, Revision: 1})
	*now += 2 * time.Second
	all := x.asks("e", nil)
	if len(all) != 1 || all[0].Age != 3*time.Second {
		t.Errorf("got %+v", all)
	}
	x.BeginPoll("holder")
	x.Apply("holder", Answer{Epoch: 1, Revision: 2})
	if all := x.asks("e", nil); all[0].Age != 3*time.Second {
		t.Errorf("the word of a replica that no longer holds the lease is %s old", all[0].Age)
	}
}

// Guards against a relay whose poll catches up in pieces passing on what it has as fresh.
func TestWordThatComesInPiecesIsNotFresh(t *testing.T) {
	x, now := testCopies()
	x.BeginPoll("holder")
	x.Apply("holder", Answer{Epoch: 1, Fencing: 1, Revision: 1})
	*now += 3 * time.Second
	x.BeginPoll("holder")
	x.Apply("holder", Answer{Epoch: 1, Fencing: 1, Revision: 2, More: true})
	if all := x.asks("e", nil); all[0].Age != 3*time.Second {
		t.Errorf("a word of which more is to come is %s old", all[0].Age)
	}
	x.Apply("holder", Answer{Epoch: 1, Fencing: 1, Revision: 3})
	if all := x.asks("e", nil); all[0].Age != 0 {
		t.Errorf("the whole word is %s old", all[0].Age)
	}
}

// Guards against links filled with the lists of all that ever held the lease.
func TestEntriesAreToldOfTheLatestHolders(t *testing.T) {
	x, _ := testCopies()
	for i, name := range []string{"b", "c", "a", "never"} {
		x.BeginPoll(name)
		a := Answer{Epoch: 1, Fencing: uint64(i + 1), Revision: 1, Rows: []rowtable.Row{{Topic: relayedTopic, Key: name, Value: []byte{1}}}}
		if name == "never" {
			a.Fencing = 0
		}
		x.Apply(name, a)
	}
	all := x.asks("e", nil)
	if len(all) != 2 || all[0].Address != "a" || all[1].Address != "c" || len(all[0].Rows) != 1 {
		t.Errorf("got %+v", all)
	}
}

// Guards against a new holder of the lease losing it over what it owes every entry of a large site.
func TestNewHolderOwesItsListsToRelays(t *testing.T) {
	b := rowtable.New(1)
	b.Put(directTopic, "server", []byte{1})
	for i := range 2000 {
		b.Put(relayedTopic, fmt.Sprintf("%020d", i), []byte{1, 2, 3})
	}
	s := &server{
		watchers: map[string]watcher{}, advanced: make(chan struct{}),
		Config: Config{Table: b, Excluded: relayed, Pause: pauseFor, CaughtUp: func() bool { return true }, Holder: func() (uint64, int64) { return 1, 0 }},
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
	if known := s.AcknowledgedRevision(counted); known != 0 {
		t.Errorf("entries behind a relay that has told nothing of them are said to know %d", known)
	}
	rows(Poll{Watcher: "relay", Relay: true, Acknowledged: 1500})
	if known := s.AcknowledgedRevision(counted); known != 1500 {
		t.Errorf("entries behind the relay are said to know %d", known)
	}
}
