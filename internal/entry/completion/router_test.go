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

// A server vanishes before its first token. The caller must not notice: the
// request goes to another server, and the lost one is not asked again first.
func TestLostServerBeforeTheFirstToken(t *testing.T) {
	for name, first := range map[string]script{"no connection": {refuse: errRefused}, "cut before the first event": {end: errLost}} {
		b := newBench(t, 2, 0)
		for _, e := range []string{"engine-1", "engine-2"} {
			b.engines.scripts[address(e)] = script{events: []string{"whole"}}
		}
		s, err := b.router.Complete(context.Background(), newCall("which server is first?", 7))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = drain(s)
		lost := b.engines.ran()[0]
		b.engines.scripts[lost] = first

		for range 3 {
			s, err := b.router.Complete(context.Background(), newCall("short question", 7))
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if got, err := drain(s); got != "whole" || err != nil {
				t.Fatalf("%s: %q, %v", name, got, err)
			}
		}
		tries := 0
		for _, a := range b.engines.ran()[1:] {
			if a == lost {
				tries++
			}
		}
		if tries > 1 {
			t.Errorf("%s: the lost server was asked %d times", name, tries)
		}
	}
}

// A server vanishes after a part of the answer has gone to the caller. The rest
// of another run would not fit, so the caller must get an error and no more text.
func TestLostServerAfterTheFirstToken(t *testing.T) {
	b := newBench(t, 2, 0)
	for _, e := range []string{"engine-1", "engine-2"} {
		b.engines.scripts[address(e)] = script{events: []string{"half"}, end: errLost}
	}
	s, err := b.router.Complete(context.Background(), newCall("a question", 7))
	if err != nil {
		t.Fatal(err)
	}
	got, err := drain(s)
	if got != "half" || verdict.Of(err) != verdict.MayHaveRun || len(b.engines.ran()) != 1 {
		t.Errorf("got %q, %v after %d runs", got, err, len(b.engines.ran()))
	}
	if len(b.guard.lost) != 1 {
		t.Errorf("the guard heard of %v", b.guard.lost)
	}
}

// An engine answers a prompt with an error, as engines do for many reasons. It
// lives; the prompt must not be held for one that crashes servers.
func TestEngineErrorIsNoLoss(t *testing.T) {
	b := newBench(t, 1, 0)
	b.engines.scripts[address("engine-1")] = script{end: errEngine}
	s, err := b.router.Complete(context.Background(), newCall("a question", 7))
	if err == nil {
		_, err = drain(s)
	}
	if err == nil || len(b.guard.lost) != 0 {
		t.Errorf("got %v, the guard heard of %v", err, b.guard.lost)
	}
}

// A refusal after an attempt that may have run must not say that nothing ran.
func TestRefusalAfterALostAttemptKeepsItsVerdict(t *testing.T) {
	b := newBench(t, 1, 0)
	b.engines.scripts[address("engine-1")] = script{end: errLost}
	s, err := b.router.Complete(context.Background(), newCall("a question", 7))
	if err == nil {
		_, err = drain(s)
	}
	if verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("got %v", err)
	}
}

// All prompts of a workspace open with the same instructions. New documents
// must not count as returns, or the entry fills the stores with what never
// comes back.
func TestDocumentsWithCommonInstructionsAreTold(t *testing.T) {
	instructions := strings.Repeat("workspace rules ", pieceTokens/4)
	a := (&router{}).newJob(newCall(instructions+strings.Repeat("dossier one ", 40), 2))
	b := (&router{}).newJob(newCall(instructions+strings.Repeat("dossier two ", 40), 2))
	one, _ := a.document()
	two, _ := b.document()
	if a.keys[0] != b.keys[0] || one == two {
		t.Errorf("documents %d and %d with common first piece %v", one, two, a.keys[0] == b.keys[0])
	}
}

func TestPromptBeyondTheContextIsRefused(t *testing.T) {
	b := newBench(t, 1, 0)
	q := newCall(strings.Repeat("word", 40), 7)
	q.Model.ContextTokens = 39
	_, err := b.router.Complete(context.Background(), q)
	if e, ok := verdict.As(err); !ok || e.Code != "context-length-exceeded" || e.Verdict != verdict.NotRun || len(b.engines.ran()) != 0 {
		t.Errorf("got %v", err)
	}
}

// A caller names pieces for import in its own body. Passed on, they could be
// another workspace's; only what the entry itself plans may reach the engine.
func TestCallersTransferFieldIsReplaced(t *testing.T) {
	b := newBench(t, 1, 0)
	b.engines.scripts[address("engine-1")] = script{events: []string{"x"}}
	s, err := b.router.Complete(context.Background(), newCall("a question", 7))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = drain(s)
	if body := b.engines.bodies[0]; strings.Contains(body, "another workspace") || !strings.Contains(body, `"weight-version":"v1"`) {
		t.Errorf("the engine got %s", body)
	}
}

// A piece is being freed at its store while a request that wants to import it
// is routed. The pieces from there on are computed, and no pin stays behind.
func TestPieceThatCanNotBePinnedIsComputed(t *testing.T) {
	b := newBench(t, 1, 0)
	b.engines.scripts[address("engine-1")] = script{events: []string{"x"}}
	q := newCall(strings.Repeat("logbook of the station, page ", 20), 7)
	keys := block.Scope{Workspace: "gate", Model: "draft", WeightVersion: "v1", PieceTokens: pieceTokens}.Tokens(q.Tokens)
	for _, k := range keys {
		b.cache.found[k] = directory.Location{Stores: []directory.Stored{{Store: "store-1", Generation: 5, Bytes: 10}}}
	}
	b.cache.refused[keys[2]] = true
	s, err := b.router.Complete(context.Background(), q)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = drain(s)
	body := b.engines.bodies[0]
	_, imports, _ := strings.Cut(body, `"imports":`)
	if n := strings.Count(imports, `"generation":5`); n != 2 {
		t.Errorf("%d pieces are imported, want the two before the refused one: %s", n, imports)
	}
	b.router.Close()
	if b.cache.pinned != 0 {
		t.Errorf("%d pins stayed behind", b.cache.pinned)
	}
}

// A store has dropped a piece on its own, and the engine says that it could not
// be imported. Nobody must try that piece again; but one that failed because a
// connection broke is still there and must not be forgotten.
func TestMissedImportIsForgotten(t *testing.T) {
	b := newBench(t, 1, 0)
	q := newCall(strings.Repeat("logbook of the station, page ", 20), 7)
	keys := block.Scope{Workspace: "gate", Model: "draft", WeightVersion: "v1", PieceTokens: pieceTokens}.Tokens(q.Tokens)
	for _, k := range keys {
		b.cache.found[k] = directory.Location{Stores: []directory.Stored{{Store: "store-1", Generation: 5, Bytes: 10}}}
	}
	b.engines.scripts[address("engine-1")] = script{events: []string{`{"choices":[],"kv_transfer_params":{"failed":["` + keys[1].String() + `","` + keys[2].String() + `"]}}`}}
	b.heads[keys[2]] = store.Piece{Key: keys[2], Generation: 5, Bytes: 10}
	s, err := b.router.Complete(context.Background(), q)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = drain(s)
	b.router.Close()
	var freed []block.Key
	for _, c := range b.cache.changes {
		if c.To == directory.Freed && c.Generation == 5 && c.Store == "store-1" {
			freed = append(freed, c.Key)
		}
	}
	if len(freed) != 1 || freed[0] != keys[1] {
		t.Errorf("freed %v, want %s", freed, keys[1])
	}
}

// A caller hangs up before the first token, as impatient callers do. Its prompt
// must not be taken for one that crashes servers, nor its server for lost.
func TestCallerThatLeavesIsNoLoss(t *testing.T) {
	b := newBench(t, 1, 0)
	slow := make(chan struct{})
	defer close(slow)
	b.engines.scripts[address("engine-1")] = script{hold: slow}
	ctx, leave := context.WithCancel(context.Background())
	s, err := b.router.Complete(ctx, newCall("a question", 7))
	if err != nil {
		t.Fatal(err)
	}
	leave()
	if _, err := drain(s); err == nil {
		t.Error("a stream without its caller ended whole")
	}
	s.Close()
	if len(b.guard.lost) != 0 {
		t.Errorf("the guard heard of %v", b.guard.lost)
	}
}

// An engine is frozen: it took the request and says nothing. The caller must
// not wait for its whole deadline while another engine is free.
func TestSilentEngineIsGivenUp(t *testing.T) {
	b := newBench(t, 2, 0)
	frozen := make(chan struct{})
	defer close(frozen)
	b.engines.scripts[address("engine-1")] = script{hold: frozen}
	b.engines.scripts[address("engine-2")] = script{hold: frozen}
	s, err := b.router.Complete(context.Background(), newCall("a question", 7))
	if err != nil {
		t.Fatal(err)
	}
	b.engines.mu.Lock()
	for _, e := range []string{"engine-1", "engine-2"} {
		if address(e) != b.engines.runs[0] {
			b.engines.scripts[address(e)] = script{events: []string{"whole"}}
		}
	}
	b.engines.mu.Unlock()
	if got, err := drain(s); got != "whole" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// The only engine computes another request's long prompt and says nothing to
// this one for 7 s, well within its deadline of 10 s. The caller must get the
// answer, and not an error that leaves open whether the request has run.
func TestBusyEngineIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 0)
		busy := make(chan struct{})
		time.AfterFunc(7*time.Second, func() { close(busy) })
		b.engines.scripts[address("engine-1")] = script{hold: busy, events: []string{"whole"}}
		q := newCall("a question", 5)
		q.Rules.Deadline = 10 * time.Second
		s, err := b.router.Complete(context.Background(), q)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := drain(s); got != "whole" || err != nil {
			t.Errorf("got %q, %v", got, err)
		}
	})
}

// A server says that it leaves while the pieces of a request that was given to
// it are being pinned. It must not get the request; the caller notices nothing.
func TestServerThatLeavesBeforeTheDispatch(t *testing.T) {
	b := newBench(t, 2, 0)
	for _, e := range []string{"engine-1", "engine-2"} {
		b.engines.scripts[address(e)] = script{events: []string{"whole"}}
	}
	q := newCall(strings.Repeat("logbook of the station, page ", 20), 7)
	for i, k := range (block.Scope{Workspace: "gate", Model: "draft", WeightVersion: "v1", PieceTokens: pieceTokens}).Tokens(q.Tokens) {
		l := directory.Location{Stores: []directory.Stored{{Store: "store-1", Generation: 5, Bytes: 10}}}
		if i > 0 {
			l.Engines = []string{"engine-1"}
		}
		b.cache.found[k] = l
	}
	b.cache.pinning = func() { b.leave(t, "engine-1") }
	s, err := b.router.Complete(context.Background(), q)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := drain(s); got != "whole" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
	if runs := b.engines.ran(); len(runs) != 1 || runs[0] != address("engine-2") {
		t.Errorf("dispatched to %v", runs)
	}
}

// leave announces that an engine leaves.
func (b *bench) leave(t *testing.T, identity string) {
	t.Helper()
	s, ok := b.table.View().Server(identity)
	if !ok {
		t.Fatalf("%s is not known", identity)
	}
	a := s.Announcement()
	a.Sequence++
	a.State = announcement.Leaving
	b.table.Announce(time.Now(), a)
}

// announceFree reports that the queue of the engine is empty.
func (b *bench) announceFree(t *testing.T) {
	t.Helper()
	v := b.table.View()
	s, ok := v.Server("engine-1")
	if !ok {
		t.Fatal("the engine is not known")
	}
	a := s.Announcement()
	a.Sequence++
	a.Load.Sequence++
	a.Load.QueuedTokens = 0
	b.table.Announce(time.Now(), a)
}
