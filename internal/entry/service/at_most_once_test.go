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

// history is one random sequence of sends through entries that crash.
type history struct {
	t       *testing.T
	random  *rand.Rand
	log     *fakeLog
	service *faultyService
	picker  *faultyPicker
	server  *httptest.Server
	end     chan struct{}
	entries []*fakeEntry
	started atomic.Uint64
}

func newHistory(t *testing.T, seed uint64) *history {
	s := &faultyService{name: crand.Text() + "-", random: rand.New(rand.NewPCG(seed, 2)), bodies: map[string][]string{}, answer: map[string]string{}}
	server := httptest.NewServer(s)
	h := &history{server: server, t: t, random: rand.New(rand.NewPCG(seed, 1)), log: newFakeLog(), service: s, end: make(chan struct{})}
	h.picker = &faultyPicker{service: s, good: strings.TrimPrefix(server.URL, "http://"), dead: deadAddress}
	faults := rand.New(rand.NewPCG(seed, 3))
	h.log.faults = func(ledger.Command) fault {
		if n := faults.IntN(12); n <= int(faultDropped) {
			return fault(n)
		}
		return faultNone
	}
	h.log.reads = func() error {
		if faults.IntN(4) == 0 {
			return errNoLeader
		}
		return nil
	}
	return h
}

// entry starts an entry that stops at the given step.
func (h *history) entry(stop step) *fakeEntry {
	next := func() uint64 { return h.started.Add(1) }
	e := newFakeEntry(h.log, h.picker, fmt.Sprintf("e%d", len(h.entries)%3), next, stop, h.end)
	h.entries = append(h.entries, e)
	return e
}

// check returns a description of what is wrong with a reply, or an empty string.
func (h *history) check(r Request, p *reply) string {
	key := r.Workspace + "/" + r.Key
	bodies, text := h.service.runs(key)
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

func (h *history) request() Request {
	workspace := fmt.Sprintf("%sw%d", h.service.name, h.random.IntN(2))
	key := fmt.Sprintf("k%d", h.random.IntN(2))
	return callOf(workspace, key, fmt.Sprintf("lot %d", h.random.IntN(8)/7))
}

func (h *history) run(sends int) string {
	defer h.server.Close()
	defer close(h.end)
	for range sends {
		r := h.request()
		e := h.entry(step(h.random.IntN(int(stepCount) * 2)))
		if wrong := h.check(r, e.send(r)); wrong != "" {
			return wrong
		}
		h.disturb()
	}
	return h.settle()
}

// disturb randomly commits delayed commands, resumes a stopped entry, declares entries dead or does nothing.
func (h *history) disturb() {
	switch h.random.IntN(4) {
	case 0:
		h.log.deliverLate()
	case 1:
		e := h.entries[h.random.IntN(len(h.entries))]
		select {
		case <-e.resume:
		default:
			close(e.resume)
		}
	case 2:
		h.abandonAll()
	}
}

// abandonAll declares all entries dead that have been started so far.
func (h *history) abandonAll() {
	for n := range 3 {
		h.log.apply(h.t, ledger.Command{Abandon: &ledger.Abandon{Entry: fmt.Sprintf("e%d", n), Incarnation: h.started.Load()}})
	}
}

// settle ends all faults, drains the running entries, abandons all claims and sends each call once more.
func (h *history) settle() string {
	h.service.mu.Lock()
	h.service.faultsOff = true
	h.service.mu.Unlock()
	h.log.mu.Lock()
	h.log.faults, h.log.reads = nil, nil
	h.log.mu.Unlock()
	for _, e := range h.entries {
		if e.isStopped() {
			continue
		}
		if err := e.Drain(context.Background()); err != nil {
			return err.Error()
		}
	}
	h.log.deliverLate()
	h.abandonAll()
	for n := range 4 {
		r := callOf(fmt.Sprintf("%sw%d", h.service.name, n/2), fmt.Sprintf("k%d", n%2), "lot 0")
		p := h.entry(stepNone).send(r)
		if wrong := h.check(r, p); wrong != "" {
			return wrong
		}
		if e, ok := verdict.As(p.err); ok && e.Status == http.StatusConflict {
			return fmt.Sprintf("%s/%s is still blocked by an abandoned claim", r.Workspace, r.Key)
		}
	}
	return ""
}

// An entry crashes before or after the claim, before the dispatch, or before or
// after the outcome is recorded. Commits time out, are delayed or are lost with
// their leader. The service breaks connections before and after it runs a call.
// The caller resends through other entries, immediately and later, also with
// another body and from another workspace. No call may run twice.
func TestNonIdempotentCallRunsAtMostOnce(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(*firstSeed)
	parameters.MinSuccessfulTests = *histories
	properties := gopter.NewProperties(parameters)
	properties.Property("at most one run, complete outcome or correct verdict", prop.ForAllNoShrink(func(seed uint64) string {
		return newHistory(t, seed).run(10)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// deadAddress is a loopback address without a listener. The port of a closed
// listener is not suitable: another test could get it and run the call.
const deadAddress = "127.99.99.99:9"

// A claim's commit times out but took effect. The entry must look up its claim and
// continue. If it refused the call instead, the caller's resends would wait for a
// call that is not running.
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

// An entry is suspended between its claim and its dispatch. Meanwhile its claim is
// abandoned, an operator resolves it as not run, and the caller's resend runs
// through another entry. After the first entry resumes, it must neither dispatch
// the old claim nor answer with the verdict not-run.
func TestResumedEntryNeitherRunsNorDeniesTheCall(t *testing.T) {
	log, fake := newFakeLog(), newFakeService(t)
	end := make(chan struct{})
	defer close(end)
	suspended := newFakeEntry(log, onePicker(fake.address()), "e1", func() uint64 { return 1 }, stepAfterClaim, end)
	suspended.Client.(*client).Now = advancingClock()
	r := callOf("w", "k", "x")
	replies := make(chan reply, 1)
	go func() {
		a, err := suspended.Call(context.Background(), r)
		replies <- reply{answer: a, err: err}
	}()
	<-suspended.stopped
	log.apply(t, ledger.Command{Abandon: &ledger.Abandon{Entry: "e1", Incarnation: 1}})
	scope := ledger.Scope{Workspace: "w", Service: "stamps", Key: "k"}
	log.apply(t, ledger.Command{Resolve: &ledger.Resolve{Scope: scope, Operator: "o"}})
	other := New(Config{Log: log, Picker: onePicker(fake.address()), Entry: "e2", Incarnation: 1})
	if _, err := other.Call(context.Background(), r); err != nil {
		t.Fatal(err)
	}
	close(suspended.resume)
	p := <-replies
	if verdict.Of(p.err) != verdict.MayHaveRun || p.err == nil || fake.ran("w", "k") != 1 {
		t.Errorf("got %v after %d runs", p.err, fake.ran("w", "k"))
	}
}

// advancingClock returns a clock that advances by one minute on each reading.
func advancingClock() func() time.Time {
	var mu sync.Mutex
	at := time.Unix(1_800_000_000, 0)
	return func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		at = at.Add(time.Minute)
		return at
	}
}

// The log is unavailable when the outcome is to be recorded. The caller must still
// get its answer, and a later resend must get the recorded one.
func TestOutcomeIsRecordedWhenTheLogComesBack(t *testing.T) {
	log, fake := newFakeLog(), newFakeService(t)
	var mu sync.Mutex
	unavailable := true
	log.faults = func(c ledger.Command) fault {
		mu.Lock()
		defer mu.Unlock()
		if c.Outcome != nil && unavailable {
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
	if !errors.As(err, &e) || e.Status != http.StatusConflict || e.RetryAfter == 0 || c.OpenCalls() != 1 {
		t.Fatalf("meanwhile: %v with %d open", err, c.OpenCalls())
	}
	mu.Lock()
	unavailable = false
	mu.Unlock()
	if err := c.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	resent, err := c.Call(context.Background(), callOf("w", "k", "x"))
	if err != nil || !resent.Repeated || string(resent.Body) != string(first.Body) {
		t.Fatalf("got %+v, %v", resent, err)
	}
}
