package completion

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/cache/store"
	"hornbeamwood/internal/fleet/announcement"
)

var (
	errRefused = verdict.New(verdict.NotRun, 503, codeUnreachable, "no connection")
	errLost    = verdict.New(verdict.MayHaveRun, 502, codeLost, "the connection broke")
	errEngine  = verdict.New(verdict.MayHaveRun, 502, "engine-failed", "out of memory")
)

// A server is lost before its first token. The caller must not notice: the
// request goes to another server, and later requests try the lost one at most
// once more.
func TestLostServerBeforeTheFirstToken(t *testing.T) {
	for name, first := range map[string]script{"no connection": {refuse: errRefused}, "cut before the first event": {end: errLost}} {
		f := newFixture(t, 2, 0)
		for _, e := range []string{"engine-1", "engine-2"} {
			f.engines.scripts[address(e)] = script{events: []string{"whole"}}
		}
		s, err := f.router.Complete(context.Background(), newRequest("which server is first?", 7))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = drain(s)
		lost := f.engines.ran()[0]
		f.engines.scripts[lost] = first

		for range 3 {
			s, err := f.router.Complete(context.Background(), newRequest("short question", 7))
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if got, err := drain(s); got != "whole" || err != nil {
				t.Fatalf("%s: %q, %v", name, got, err)
			}
		}
		tries := 0
		for _, a := range f.engines.ran()[1:] {
			if a == lost {
				tries++
			}
		}
		if tries > 1 {
			t.Errorf("%s: the lost server was tried %d times", name, tries)
		}
	}
}

// A server is lost after a part of the answer has gone to the caller. The text of
// another run would not continue it, so the caller must get an error and no more
// text.
func TestLostServerAfterTheFirstToken(t *testing.T) {
	f := newFixture(t, 2, 0)
	for _, e := range []string{"engine-1", "engine-2"} {
		f.engines.scripts[address(e)] = script{events: []string{"half"}, end: errLost}
	}
	s, err := f.router.Complete(context.Background(), newRequest("a question", 7))
	if err != nil {
		t.Fatal(err)
	}
	got, err := drain(s)
	if got != "half" || verdict.Of(err) != verdict.MayHaveRun || len(f.engines.ran()) != 1 {
		t.Errorf("got %q, %v after %d runs", got, err, len(f.engines.ran()))
	}
	if len(f.guard.lost) != 1 {
		t.Errorf("the guard got the losses %v", f.guard.lost)
	}
}

// An engine answers a prompt with an error, as engines do for many reasons. It
// is still alive, and the prompt must not count as one that crashes servers.
func TestEngineErrorIsNoLoss(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.engines.scripts[address("engine-1")] = script{end: errEngine}
	s, err := f.router.Complete(context.Background(), newRequest("a question", 7))
	if err == nil {
		_, err = drain(s)
	}
	if err == nil || len(f.guard.lost) != 0 {
		t.Errorf("got %v, the guard got the losses %v", err, f.guard.lost)
	}
}

// A refusal after an attempt that may have run must not carry the verdict not-run.
func TestRefusalAfterALostAttemptKeepsItsVerdict(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.engines.scripts[address("engine-1")] = script{end: errLost}
	s, err := f.router.Complete(context.Background(), newRequest("a question", 7))
	if err == nil {
		_, err = drain(s)
	}
	if verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("got %v", err)
	}
}

// All prompts of a workspace begin with the same instructions. New documents
// must not count as reuse, or the entry would fill the stores with pieces that
// are never read again.
func TestDocumentsWithCommonInstructionsAreDistinguished(t *testing.T) {
	instructions := strings.Repeat("workspace rules ", pieceTokens/4)
	a := (&router{}).newJob(newRequest(instructions+strings.Repeat("dossier one ", 40), 2))
	b := (&router{}).newJob(newRequest(instructions+strings.Repeat("dossier two ", 40), 2))
	one, _ := a.documentKey()
	two, _ := b.documentKey()
	if a.keys[0] != b.keys[0] || one == two {
		t.Errorf("documents %d and %d with common first piece %v", one, two, a.keys[0] == b.keys[0])
	}
}

func TestPromptBeyondTheContextIsRefused(t *testing.T) {
	f := newFixture(t, 1, 0)
	q := newRequest(strings.Repeat("word", 40), 7)
	q.Model.ContextTokens = 39
	_, err := f.router.Complete(context.Background(), q)
	if e, ok := verdict.As(err); !ok || e.Code != "context-length-exceeded" || e.Verdict != verdict.NotRun || len(f.engines.ran()) != 0 {
		t.Errorf("got %v", err)
	}
}

// A caller lists pieces to import in its own body. They could belong to another
// workspace; only imports that the entry itself plans may reach the engine.
func TestCallersTransferFieldIsReplaced(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.engines.scripts[address("engine-1")] = script{events: []string{"x"}}
	s, err := f.router.Complete(context.Background(), newRequest("a question", 7))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = drain(s)
	if body := f.engines.bodies[0]; strings.Contains(body, "another workspace") || !strings.Contains(body, `"weight-version":"v1"`) {
		t.Errorf("the engine got %s", body)
	}
}

// A piece is being freed at its store while a request that imports it is routed.
// That piece and all after it must be computed, and no pin may be left over.
func TestPieceThatCanNotBePinnedIsComputed(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.engines.scripts[address("engine-1")] = script{events: []string{"x"}}
	q := newRequest(strings.Repeat("logbook of the station, page ", 20), 7)
	keys := block.Scope{Workspace: "gate", Model: "draft", WeightVersion: "v1", PieceTokens: pieceTokens}.Tokens(q.Tokens)
	for _, k := range keys {
		f.cache.found[k] = directory.Location{Stores: []directory.Stored{{Store: "store-1", Generation: 5, Bytes: 10}}}
	}
	f.cache.refused[keys[2]] = true
	s, err := f.router.Complete(context.Background(), q)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = drain(s)
	body := f.engines.bodies[0]
	_, imports, _ := strings.Cut(body, `"imports":`)
	if n := strings.Count(imports, `"generation":5`); n != 2 {
		t.Errorf("%d pieces are imported, want the two before the refused one: %s", n, imports)
	}
	f.router.Close()
	if f.cache.pinned != 0 {
		t.Errorf("%d pins were not released", f.cache.pinned)
	}
}

// A store has dropped a piece on its own, and the engine reports that the import
// failed. The directory must remove that piece. A piece whose import failed
// because of a connection error still exists and must stay in the directory.
func TestFailedImportIsRemoved(t *testing.T) {
	f := newFixture(t, 1, 0)
	q := newRequest(strings.Repeat("logbook of the station, page ", 20), 7)
	keys := block.Scope{Workspace: "gate", Model: "draft", WeightVersion: "v1", PieceTokens: pieceTokens}.Tokens(q.Tokens)
	for _, k := range keys {
		f.cache.found[k] = directory.Location{Stores: []directory.Stored{{Store: "store-1", Generation: 5, Bytes: 10}}}
	}
	f.engines.scripts[address("engine-1")] = script{events: []string{`{"choices":[],"kv_transfer_params":{"failed":["` + keys[1].String() + `","` + keys[2].String() + `"]}}`}}
	f.heads[keys[2]] = store.Piece{Key: keys[2], Generation: 5, Bytes: 10}
	s, err := f.router.Complete(context.Background(), q)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = drain(s)
	f.router.Close()
	var freed []block.Key
	for _, c := range f.cache.changes {
		if c.To == directory.Freed && c.Generation == 5 && c.Store == "store-1" {
			freed = append(freed, c.Key)
		}
	}
	if len(freed) != 1 || freed[0] != keys[1] {
		t.Errorf("freed %v, want %s", freed, keys[1])
	}
}

// A caller disconnects before the first token. Its prompt must not count as one
// that crashes servers, nor its server as lost.
func TestCallerThatLeavesIsNoLoss(t *testing.T) {
	f := newFixture(t, 1, 0)
	slow := make(chan struct{})
	defer close(slow)
	f.engines.scripts[address("engine-1")] = script{hold: slow}
	ctx, disconnect := context.WithCancel(context.Background())
	s, err := f.router.Complete(ctx, newRequest("a question", 7))
	if err != nil {
		t.Fatal(err)
	}
	disconnect()
	if _, err := drain(s); err == nil {
		t.Error("the stream of a caller that disconnected ended as complete")
	}
	s.Close()
	if len(f.guard.lost) != 0 {
		t.Errorf("the guard got the losses %v", f.guard.lost)
	}
}

// An engine is suspended: it accepted the request and sends nothing. The caller
// must not wait until its deadline while another engine is free.
func TestSilentEngineIsGivenUp(t *testing.T) {
	f := newFixture(t, 2, 0)
	suspended := make(chan struct{})
	defer close(suspended)
	f.engines.scripts[address("engine-1")] = script{hold: suspended}
	f.engines.scripts[address("engine-2")] = script{hold: suspended}
	s, err := f.router.Complete(context.Background(), newRequest("a question", 7))
	if err != nil {
		t.Fatal(err)
	}
	f.engines.mu.Lock()
	for _, e := range []string{"engine-1", "engine-2"} {
		if address(e) != f.engines.runs[0] {
			f.engines.scripts[address(e)] = script{events: []string{"whole"}}
		}
	}
	f.engines.mu.Unlock()
	if got, err := drain(s); got != "whole" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// The only engine prefills another request's long prompt and sends nothing for
// this one for 7 s, well within its deadline of 10 s. The caller must get the
// answer, and not an error with the verdict may-have-run.
func TestBusyEngineIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 0)
		busy := make(chan struct{})
		time.AfterFunc(7*time.Second, func() { close(busy) })
		f.engines.scripts[address("engine-1")] = script{hold: busy, events: []string{"whole"}}
		q := newRequest("a question", 5)
		q.Rules.Deadline = 10 * time.Second
		s, err := f.router.Complete(context.Background(), q)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := drain(s); got != "whole" || err != nil {
			t.Errorf("got %q, %v", got, err)
		}
	})
}

// A server announces that it is leaving while the pieces of a request that is
// routed to it are being pinned. It must not get the request, and the caller must
// not notice.
func TestServerThatLeavesBeforeTheDispatch(t *testing.T) {
	f := newFixture(t, 2, 0)
	for _, e := range []string{"engine-1", "engine-2"} {
		f.engines.scripts[address(e)] = script{events: []string{"whole"}}
	}
	q := newRequest(strings.Repeat("logbook of the station, page ", 20), 7)
	for i, k := range (block.Scope{Workspace: "gate", Model: "draft", WeightVersion: "v1", PieceTokens: pieceTokens}).Tokens(q.Tokens) {
		l := directory.Location{Stores: []directory.Stored{{Store: "store-1", Generation: 5, Bytes: 10}}}
		if i > 0 {
			l.Engines = []string{"engine-1"}
		}
		f.cache.found[k] = l
	}
	f.cache.pinning = func() { f.leave(t, "engine-1") }
	s, err := f.router.Complete(context.Background(), q)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := drain(s); got != "whole" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
	if runs := f.engines.ran(); len(runs) != 1 || runs[0] != address("engine-2") {
		t.Errorf("dispatched to %v", runs)
	}
}

// leave announces that an engine is leaving.
func (f *fixture) leave(t *testing.T, identity string) {
	t.Helper()
	s, ok := f.table.View().Server(identity)
	if !ok {
		t.Fatalf("%s is not in the table", identity)
	}
	a := s.Announcement()
	a.Sequence++
	a.State = announcement.Leaving
	f.table.Announce(time.Now(), a)
}

// announceFree reports that the queue of the engine is empty.
func (f *fixture) announceFree(t *testing.T) {
	t.Helper()
	v := f.table.View()
	s, ok := v.Server("engine-1")
	if !ok {
		t.Fatal("the engine is not in the table")
	}
	a := s.Announcement()
	a.Sequence++
	a.Load.Sequence++
	a.Load.QueuedTokens = 0
	f.table.Announce(time.Now(), a)
}

// An engine refuses a prompt and requests a backoff. Until its end the engine must get nothing; callers are served by the
// other engine, and are refused with the time of the backoff once both have requested it.
func TestEngineInBackoffGetsNothing(t *testing.T) {
	for _, status := range []int{429, 503} {
		testEngineInBackoff(t, status)
	}
}

func testEngineInBackoff(t *testing.T, status int) {
	f := newFixture(t, 2, 0)
	for _, e := range []string{"engine-1", "engine-2"} {
		f.engines.scripts[address(e)] = script{events: []string{"whole"}}
	}
	refusing := script{refuse: verdict.New(verdict.NotRun, status, codeEngineRefused, "backoff").WithRetryAfter(40 * time.Second)}
	complete := func() error {
		s, err := f.router.Complete(context.Background(), newRequest("short question", 7))
		if err == nil {
			_, err = drain(s)
		}
		return err
	}
	f.engines.scripts[address("engine-1")] = refusing
	for n := range 10 {
		if err := complete(); err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
	}
	f.engines.scripts[address("engine-2")] = refusing
	_ = complete()
	e, ok := verdict.As(complete())
	if !ok || e.Verdict != verdict.NotRun || e.RetryAfter < 39*time.Second {
		t.Errorf("while both engines are in backoff: %+v", e)
	}
	count := map[string]int{}
	for _, a := range f.engines.ran() {
		count[a]++
	}
	if count[address("engine-1")] != 1 || count[address("engine-2")] != 11 {
		t.Errorf("the engines got %v", count)
	}
}
