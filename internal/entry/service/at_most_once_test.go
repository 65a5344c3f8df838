package service

import (
	"context"
	crand "crypto/rand"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/ledger"
)

const fixedSeed = 20261203

var (
	histories = flag.Int("histories", 300, "random histories of TestNonIdempotentCallRunsAtMostOnce")
	breaks    = flag.Int("breaks", 1500, "random connections of each kind of TestNotRunIsTrueWhereverTheConnectionBreaks")
	firstSeed = flag.Int64("first-seed", fixedSeed, "seed of the random tests")
)

// world is one random history of sends through entries that die.
type world struct {
	t       *testing.T
	random  *rand.Rand
	log     *fakeLog
	service *wildService
	picker  *wildPicker
	server  *httptest.Server
	end     chan struct{}
	entries []*fakeEntry
	started atomic.Uint64
}

func newWorld(t *testing.T, seed uint64) *world {
	s := &wildService{name: crand.Text() + "-", random: rand.New(rand.NewPCG(seed, 2)), bodies: map[string][]string{}, answer: map[string]string{}}
	server := httptest.NewServer(s)
	w := &world{server: server, t: t, random: rand.New(rand.NewPCG(seed, 1)), log: newFakeLog(), service: s, end: make(chan struct{})}
	w.picker = &wildPicker{service: s, good: strings.TrimPrefix(server.URL, "http://"), dead: deadAddress}
	faults := rand.New(rand.NewPCG(seed, 3))
	w.log.faults = func(ledger.Command) fault {
		if n := faults.IntN(12); n <= int(faultDropped) {
			return fault(n)
		}
		return faultNone
	}
	w.log.reads = func() error {
		if faults.IntN(4) == 0 {
			return errNoLeader
		}
		return nil
	}
	return w
}

// entry starts a process that may stop at a random step.
func (w *world) entry(stop step) *fakeEntry {
	next := func() uint64 { return w.started.Add(1) }
	e := newFakeEntry(w.log, w.picker, fmt.Sprintf("e%d", len(w.entries)%3), next, stop, w.end)
	w.entries = append(w.entries, e)
	return e
}

// check returns what is wrong with a reply, empty for nothing.
func (w *world) check(r Request, p *reply) string {
	key := r.Workspace + "/" + r.Key
	bodies, text := w.service.runs(key)
	if len(bodies) > 1 {
		return fmt.Sprintf("%s ran %d times", key, len(bodies))
	}
	if p == nil {
		return ""
	}
	ran := len(bodies) == 1 && bodies[0] == string(r.Body)
	if p.err == nil {
		if !ran || string(p.answer.Body) != text {
			return fmt.Sprintf("%s was answered %q instead of %q", key, p.answer.Body, text)
		}
		return ""
	}
	e, ok := verdict.As(p.err)
	if !ok || (e.Verdict == verdict.NotRun && ran) || (e.Verdict == verdict.Ran && !ran) {
		return fmt.Sprintf("%s got %v; it ran: %t", key, p.err, ran)
	}
	return ""
}

func (w *world) request() Request {
	workspace := fmt.Sprintf("%sw%d", w.service.name, w.random.IntN(2))
	key := fmt.Sprintf("k%d", w.random.IntN(2))
	return callOf(workspace, key, fmt.Sprintf("lot %d", w.random.IntN(8)/7))
}

func (w *world) play(sends int) string {
	defer w.server.Close()
	defer close(w.end)
	for range sends {
		r := w.request()
		e := w.entry(step(w.random.IntN(int(stepCount) * 2)))
		if wrong := w.check(r, e.send(r)); wrong != "" {
			return wrong
		}
		w.disturb()
	}
	return w.settle()
}

// disturb lets late commits arrive, declares entries dead and thaws stopped ones.
func (w *world) disturb() {
	switch w.random.IntN(4) {
	case 0:
		w.log.deliverLate()
	case 1:
		e := w.entries[w.random.IntN(len(w.entries))]
		select {
		case <-e.thaw:
		default:
			close(e.thaw)
		}
	case 2:
		w.abandonAll()
	}
}

// abandonAll declares all entries dead that were started so far.
func (w *world) abandonAll() {
	for n := range 3 {
		w.log.apply(w.t, ledger.Command{Abandon: &ledger.Abandon{Entry: fmt.Sprintf("e%d", n), Incarnation: w.started.Load()}})
	}
}

// settle ends all faults and all stopped processes and sends each call once more.
func (w *world) settle() string {
	w.service.mu.Lock()
	w.service.calm = true
	w.service.mu.Unlock()
	w.log.mu.Lock()
	w.log.faults, w.log.reads = nil, nil
	w.log.mu.Unlock()
	for _, e := range w.entries {
		if e.isStopped() {
			continue
		}
		if err := e.Drain(context.Background()); err != nil {
			return err.Error()
		}
	}
	w.log.deliverLate()
	w.abandonAll()
	for n := range 4 {
		r := callOf(fmt.Sprintf("%sw%d", w.service.name, n/2), fmt.Sprintf("k%d", n%2), "lot 0")
		p := w.entry(stepNone).send(r)
		if wrong := w.check(r, p); wrong != "" {
			return wrong
		}
		if e, ok := verdict.As(p.err); ok && e.Status == http.StatusConflict {
			return fmt.Sprintf("%s/%s is held by a claim that nobody holds", r.Workspace, r.Key)
		}
	}
	return ""
}

// An entry dies before the claim, after it, before the dispatch, before the
// outcome or before the answer; commits time out, arrive late or are lost with
// their leader; the service breaks connections before and after it ran a call;
// and the caller sends again, through other entries, at once and later, also
// with another body and from another workspace. A hand-over that ran twice
// would put two transmitters on one hour.
func TestNonIdempotentCallRunsAtMostOnce(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(*firstSeed)
	parameters.MinSuccessfulTests = *histories
	properties := gopter.NewProperties(parameters)
	properties.Property("one run at most, whole outcome or true verdict", prop.ForAllNoShrink(func(seed uint64) string {
		return newWorld(t, seed).play(10)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// deadAddress is a loopback address where nobody listens. The port of a closed
// listener wouldn't do: another test may get it and run the call.
const deadAddress = "127.99.99.99:9"

// A claim's commit times out but took effect. The entry reads back that it
// holds the claim and goes on; a caller that were told to try again would wait
// for a call that nobody runs.
func TestTimedOutClaimIsReadBack(t *testing.T) {
	log, fake := newFakeLog(), newFakeService(t)
	log.faults = func(c ledger.Command) fault {
		if c.Claim != nil {
			return faultLostAnswer
		}
		return faultNone
	}
	c := New(Config{Log: log, Picker: onePicker(fake.address()), Entry: "e1", Incarnation: 1, ClaimTimeout: time.Nanosecond})
	if a, err := c.Call(context.Background(), callOf("w", "k", "x")); err != nil || a.Verdict != verdict.Ran {
		t.Fatalf("got %+v, %v", a, err)
	}
	if n := fake.ran("w", "k"); n != 1 {
		t.Fatalf("it ran %d times", n)
	}
}

// An entry stands still between its claim and its dispatch. Meanwhile its claim
// is abandoned, an operator finds that nothing ran, and the caller's resend
// runs through another entry. When the first entry goes on it must neither
// dispatch the old claim nor say that nothing ran.
func TestThawedEntryNeitherRunsNorDeniesTheCall(t *testing.T) {
	log, fake := newFakeLog(), newFakeService(t)
	end := make(chan struct{})
	defer close(end)
	frozen := newFakeEntry(log, onePicker(fake.address()), "e1", func() uint64 { return 1 }, stepAfterClaim, end)
	frozen.Client.(*client).Now = timesApart()
	r := callOf("w", "k", "x")
	replies := make(chan reply, 1)
	go func() {
		a, err := frozen.Call(context.Background(), r)
		replies <- reply{answer: a, err: err}
	}()
	<-frozen.stopped
	log.apply(t, ledger.Command{Abandon: &ledger.Abandon{Entry: "e1", Incarnation: 1}})
	scope := ledger.Scope{Workspace: "w", Service: "stamps", Key: "k"}
	log.apply(t, ledger.Command{Resolve: &ledger.Resolve{Scope: scope, Operator: "o"}})
	other := New(Config{Log: log, Picker: onePicker(fake.address()), Entry: "e2", Incarnation: 1})
	if _, err := other.Call(context.Background(), r); err != nil {
		t.Fatal(err)
	}
	close(frozen.thaw)
	p := <-replies
	if verdict.Of(p.err) != verdict.MayHaveRun || p.err == nil || fake.ran("w", "k") != 1 {
		t.Errorf("got %v after %d runs", p.err, fake.ran("w", "k"))
	}
}

// timesApart returns a clock on which a minute goes by between two looks.
func timesApart() func() time.Time {
	var mu sync.Mutex
	at := time.Unix(1_800_000_000, 0)
	return func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		at = at.Add(time.Minute)
		return at
	}
}

// The log doesn't answer when the outcome is to be recorded. The caller gets
// its answer all the same, and a resend later finds it whole.
func TestOutcomeIsRecordedWhenTheLogComesBack(t *testing.T) {
	log, fake := newFakeLog(), newFakeService(t)
	var mu sync.Mutex
	away := true
	log.faults = func(c ledger.Command) fault {
		mu.Lock()
		defer mu.Unlock()
		if c.Outcome != nil && away {
			return faultRefused
		}
		return faultNone
	}
	c := New(Config{Log: log, Picker: onePicker(fake.address()), Entry: "e1", Incarnation: 1, OutcomeWait: 1})
	first, err := c.Call(context.Background(), callOf("w", "k", "x"))
	if err != nil || first.Verdict != verdict.Ran {
		t.Fatalf("got %+v, %v", first, err)
	}
	_, err = c.Call(context.Background(), callOf("w", "k", "x"))
	var e verdict.Error
	if !errors.As(err, &e) || e.Status != http.StatusConflict || e.RetryAfter == 0 || c.Open() != 1 {
		t.Fatalf("meanwhile: %v with %d open", err, c.Open())
	}
	mu.Lock()
	away = false
	mu.Unlock()
	if err := c.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	again, err := c.Call(context.Background(), callOf("w", "k", "x"))
	if err != nil || !again.Repeated || string(again.Body) != string(first.Body) {
		t.Fatalf("got %+v, %v", again, err)
	}
}
