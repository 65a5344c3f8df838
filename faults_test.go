package hornbeamwood_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hornbeamwood/internal/standin/engine"
)

var (
	faultTime = flag.Duration("faults.time", time.Minute, "how long TestFaults injects faults")
	faultSeed = flag.Uint64("faults.seed", 20261203, "seed of the schedule of TestFaults")
)

// record collects the answers to callers and operators of TestFaults.
type record struct {
	mu          sync.Mutex
	stamps      map[string][]answer
	edits       map[uint64]string
	violations  []string
	completions atomic.Int64
	failures    map[string]int
	stop        chan struct{}
	running     sync.WaitGroup
}

func newRecord() *record {
	return &record{
		stamps:   make(map[string][]answer),
		edits:    make(map[uint64]string),
		failures: make(map[string]int),
		stop:     make(chan struct{}),
	}
}

func (r *record) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// each runs f until the record is closed.
func (r *record) each(f func(i int)) {
	r.running.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-r.stop:
				return
			default:
				f(i)
			}
		}
	})
}

// complete sends one completion and checks that the result is its complete answer or an error.
func (r *record) complete(e *host, name string, i int) {
	prompt := fmt.Sprintf("%s %d %s", name, i%7, strings.Repeat("dossier of lots ", 40*(i%7)))
	tokens := 3 + i%5
	c := complete(e, gateKey, "draft", prompt, tokens)
	if c.status != http.StatusOK || !c.done {
		r.failed(c)
		return
	}
	r.completions.Add(1)
	var want strings.Builder
	for n := 1; n <= tokens; n++ {
		fmt.Fprintf(&want, "%s-%d ", engine.Digest(prompt), n)
	}
	if c.text != want.String() {
		r.addViolation("%s through %s got a wrong answer: %q, want %q", prompt[:20], e.name, c.text, want.String())
	}
}

// failed counts an incomplete completion by the error that its caller got.
func (r *record) failed(c completion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	what := "no answer"
	if code := failureCode.FindStringSubmatch(c.raw); code != nil {
		what = code[1]
	} else if c.status == http.StatusOK {
		what = "cut"
	}
	r.failures[what]++
}

// failureCode finds the code in an error body or an error event.
var failureCode = regexp.MustCompile(`"code":"([a-z-]+)"`)

// stamp sends one non-idempotent call through one entry after the other until it has an outcome.
func (r *record) stamp(f *fleet, name string, i int) {
	key := fmt.Sprintf("%s-%d", name, i)
	for attempt := range 6 {
		e := f.entries[(i+attempt)%len(f.entries)]
		a := call{
			method: http.MethodPost, url: e.url() + "/services/stamp/issue", key: gateKey, body: key,
			header: map[string]string{"Idempotency-Key": key},
		}.do()
		r.mu.Lock()
		r.stamps[key] = append(r.stamps[key], a)
		r.mu.Unlock()
		if a.status == http.StatusCreated {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// edit changes one setting against the newest revision and records it if it is accepted.
func (r *record) edit(e *host, name string, i int) {
	got := call{method: http.MethodGet, url: e.url() + "/settings/workspaces/gate", key: operatorKey}.do()
	if got.status != http.StatusOK {
		time.Sleep(200 * time.Millisecond)
		return
	}
	id := fmt.Sprintf("%s-%d", name, i)
	a := call{
		method: http.MethodPatch, url: e.url() + "/settings/workspaces/gate", key: operatorKey,
		body:   fmt.Sprintf("deadline = \"%dms\"\n", 30000+i),
		header: map[string]string{"Content-Type": "application/toml", "If-Match": got.header.Get("ETag"), "Idempotency-Key": id},
	}.do()
	var o struct {
		Outcome  string `json:"outcome"`
		Revision uint64 `json:"revision"`
	}
	if a.status == http.StatusOK && json.Unmarshal([]byte(a.body), &o) == nil && o.Outcome == "accepted" {
		r.mu.Lock()
		if other, ok := r.edits[o.Revision]; ok && other != id {
			r.violations = append(r.violations, fmt.Sprintf("revision %d was acknowledged to %s and to %s", o.Revision, other, id))
		}
		r.edits[o.Revision] = id
		r.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
}

// fault is one fault that the schedule of TestFaults may inject.
type fault struct {
	name string
	run  func(f *fleet, r *rand.Rand)
}

func pick(r *rand.Rand, all []*host) *host {
	return all[r.IntN(len(all))]
}

// suspend stops a process, as the suspension of its VM would, and resumes it after d.
func (f *fleet) suspend(h *host, d time.Duration) {
	p := f.processes[h.name]
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (f *fleet) restart(h *host, start func(*host) *process, graceful bool) {
	p := f.processes[h.name]
	if !graceful {
		p.kill()
	} else if code := p.stop(); code != 0 {
		f.t.Errorf("%s: exit code %d after SIGTERM", h.name, code)
	}
	start(h)
}

var faults = []fault{
	{"an entry is killed", func(f *fleet, r *rand.Rand) { f.restart(pick(r, f.entries), f.startEntry, false) }},
	{"an entry is restarted", func(f *fleet, r *rand.Rand) { f.restart(pick(r, f.entries), f.startEntry, true) }},
	{"an entry is suspended", func(f *fleet, r *rand.Rand) { f.suspend(pick(r, f.entries), 5*time.Second) }},
	{"a control replica is killed", func(f *fleet, r *rand.Rand) { f.restart(pick(r, f.controls), f.startControl, false) }},
	{"a control replica is restarted", func(f *fleet, r *rand.Rand) { f.restart(pick(r, f.controls), f.startControl, true) }},
	{"a control replica is suspended", func(f *fleet, r *rand.Rand) { f.suspend(pick(r, f.controls), 6*time.Second) }},
	{"an engine is killed", func(f *fleet, r *rand.Rand) { f.restart(pick(r, f.engines), f.restartStandin, false) }},
	{"an engine leaves", func(f *fleet, r *rand.Rand) { f.restart(pick(r, f.engines), f.restartStandin, true) }},
	{"the store is killed", func(f *fleet, r *rand.Rand) { f.restart(pick(r, f.stores), f.restartStandin, false) }},
}

// Processes are killed, suspended and restarted while callers and operators send
// requests. There must be no wrong answer, no truncated answer that looks complete, no
// second certificate number on one lot, and no accepted setting that is lost.
func TestFaults(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.startNodes()
	f.stores = append(f.stores, f.startStandin("store-1", "store", "[store]\nmemory-bytes = 8000000\ndisk-bytes = 8000000\nlink-rate = 100000000\n"))
	for i := range 3 {
		f.engines = append(f.engines, f.startStandin(fmt.Sprintf("engine-%d", i+1), "engine", engineTable))
	}
	stamps := f.startStandin("stamp-1", "service", "[service]\nnames = [\"stamp\"]\ndelay = \"20ms\"\n")
	f.applyTree(f.entries[0], smallTree())
	for _, e := range f.entries {
		f.serves(e, gateKey, "draft")
	}

	r := newRecord()
	for i, e := range f.entries {
		r.each(func(n int) { r.complete(e, "caller-"+e.name, n) })
		r.each(func(n int) { r.stamp(f, "stamp-"+e.name, n*3+i) })
		r.each(func(n int) { r.edit(e, "edit-"+e.name, n) })
	}
	random := rand.New(rand.NewPCG(*faultSeed, 0))
	for until := time.Now().Add(*faultTime); time.Now().Before(until); {
		x := faults[random.IntN(len(faults))]
		t.Logf("%s: %s", time.Now().Format(time.TimeOnly), x.name)
		x.run(f, random)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	for _, e := range f.entries {
		f.serves(e, gateKey, "draft")
	}
	close(r.stop)
	r.running.Wait()
	r.check(t, f, stamps)
}

// check compares the recorded answers with the state of the servers and the control log.
func (r *record) check(t *testing.T, f *fleet, stamps *host) {
	for _, w := range r.violations {
		t.Error(w)
	}
	executions := getJSON[map[string]int](t, stamps.url()+"/standin/executions")
	outcomes := 0
	for key, answers := range r.stamps {
		outcomes += checkStamp(t, key, answers, executions["gate/"+key])
	}
	r.checkEdits(t, f.entries[0])
	for _, e := range f.engines {
		if n := getJSON[engine.Report](t, e.url()+"/standin/report").WrongPieces; n != 0 {
			t.Errorf("%s imported %d pieces with wrong bytes", e.name, n)
		}
	}
	t.Logf("completions %d complete, failed %v; stamps %d, of them %d with outcome; edits accepted %d",
		r.completions.Load(), r.failures, len(r.stamps), outcomes, len(r.edits))
	if r.completions.Load() == 0 || outcomes == 0 || len(r.edits) == 0 {
		t.Error("no request of some kind succeeded during the faults, so the checks are void")
	}
}

// checkStamp compares the answers under one key with the number of executions and returns 1 when there was an outcome.
func checkStamp(t *testing.T, key string, answers []answer, ran int) int {
	t.Helper()
	outcome, notRun := "", true
	for _, a := range answers {
		if a.err != nil || a.header.Get("Hornbeamwood-Verdict") != "not-run" {
			notRun = false
		}
		if a.status != http.StatusCreated {
			continue
		}
		if outcome != "" && outcome != a.body {
			t.Errorf("%s: two outcomes, %s and %s", key, outcome, a.body)
		}
		outcome = a.body
	}
	if ran > 1 {
		t.Errorf("%s ran %d times", key, ran)
	}
	if outcome != "" && ran != 1 {
		t.Errorf("%s has an outcome and ran %d times", key, ran)
	}
	if notRun && ran != 0 {
		t.Errorf("%s was refused as not-run each time and ran %d times", key, ran)
	}
	if outcome == "" {
		return 0
	}
	return 1
}

// checkEdits looks up each acknowledged revision in the audit trail.
func (r *record) checkEdits(t *testing.T, e *host) {
	a := call{method: http.MethodGet, url: e.url() + "/settings-history?limit=200", key: operatorKey}.do()
	var h struct {
		Revision uint64 `json:"revision"`
		Records  []struct {
			Revision uint64 `json:"revision"`
			ID       string `json:"edit-id"`
		} `json:"records"`
	}
	if err := json.Unmarshal([]byte(a.body), &h); err != nil {
		t.Fatalf("history: %d %s: %v", a.status, a.body, err)
	}
	kept := make(map[uint64]string, len(h.Records))
	oldest := h.Revision
	for _, x := range h.Records {
		kept[x.Revision] = x.ID
		oldest = min(oldest, x.Revision)
	}
	for revision, id := range r.edits {
		if revision >= oldest && kept[revision] != id {
			t.Errorf("revision %d was accepted as %s; the audit trail has %q", revision, id, kept[revision])
		}
	}
}
