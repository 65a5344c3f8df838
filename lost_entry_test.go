package hornbeamwood_test

import (
	"net/http"
	"strings"
	"testing"
)

// An entry's VM is lost for good while a stamp that it dispatched still runs. The caller
// resends the stamp through another entry. It must not run a second time. The answer must
// not stay that the call still runs, but soon be that its outcome is unknown, and an
// operator must be able to resolve it.
func TestCallOfALostEntryEndsAsUnknown(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.startNodes()
	stamps := f.startStandin("stamp-1", "service", "[service]\nnames = [\"stamp\"]\ndelay = \"5s\"\n")
	f.applyTree(f.entries[0], smallTree())
	stamp := call{method: http.MethodPost, key: gateKey, body: "lot 7", header: map[string]string{"Idempotency-Key": "lot-7"}}
	ran := func() int { return getJSON[map[string]int](t, stamps.url()+"/standin/executions")["gate/lot-7"] }

	eventually(t, "the stamp runs", func() bool {
		first := stamp
		first.url = f.entries[0].url() + "/services/stamp/issue"
		go first.do()
		return ran() == 1
	})
	f.processes[f.entries[0].name].kill()

	stamp.url = f.entries[1].url() + "/services/stamp/issue"
	var last answer
	eventually(t, "the resend is answered with an unknown outcome", func() bool {
		last = stamp.do()
		if last.status == http.StatusCreated {
			t.Fatalf("a resend got an outcome that nobody recorded: %s", last.body)
		}
		return strings.Contains(last.body, "outcome-unknown")
	})
	if v := last.header.Get("Hornbeamwood-Verdict"); v != "may-have-run" {
		t.Errorf("verdict %q", v)
	}
	if n := ran(); n != 1 {
		t.Errorf("the stamp ran %d times", n)
	}

	resolve := call{
		method: http.MethodPost, url: f.entries[1].url() + "/ledger/resolve", key: operatorKey,
		body: `{"workspace": "gate", "service": "stamp", "key": "lot-7", "verdict": "ran"}`,
	}
	if a := resolve.doUntilServed(t); a.status != http.StatusNoContent {
		t.Fatalf("resolve: %d %s", a.status, a.body)
	}
	if a := stamp.doUntilServed(t); a.header.Get("Hornbeamwood-Verdict") != "ran" || ran() != 1 {
		t.Errorf("after the operator resolved it: verdict %q, %d runs: %s", a.header.Get("Hornbeamwood-Verdict"), ran(), a.body)
	}
}
