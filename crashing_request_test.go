package hornbeamwood_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/standin/engine"
	"hornbeamwood/internal/standin/service"
)

var crashingEngine = engineTable + "crashes = true\n"

// running counts the servers that still run.
func (f *fleet) running(servers []*host) int {
	n := 0
	for _, h := range servers {
		select {
		case <-f.processes[h.name].ended:
		default:
			n++
		}
	}
	return n
}

// One request crashes every server that runs it, and its caller resends it through every
// entry. Without quarantine it crashes the whole fleet and ends the streams of all other
// users. With it, at most two servers are lost, the request is refused at once, and other
// requests are served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const servers = 5
	f := newFleet(t, 3, 3)
	f.startNodes()
	for i := range servers {
		f.engines = append(f.engines, f.startStandin(fmt.Sprintf("engine-%d", i+1), "engine", crashingEngine))
	}
	f.applyTree(f.entries[0], smallTree())
	for _, e := range f.entries {
		f.serves(e, gateKey, "draft")
	}

	stop := make(chan struct{})
	var innocents sync.WaitGroup
	for i, e := range f.entries {
		innocents.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					complete(e, plantKey, "draft", fmt.Sprintf("innocent %d %d", i, n), 5)
				}
			}
		})
	}
	crash := func(e *host) answer {
		b, _ := json.Marshal(map[string]any{"model": "draft", "prompt": engine.CrashMarker, "stream": true})
		return call{method: http.MethodPost, url: e.url() + "/v1/completions", key: gateKey, body: string(b)}.do()
	}
	for _, e := range f.entries {
		eventually(t, "the request is quarantined at "+e.name, func() bool {
			return strings.Contains(crash(e).body, "request-quarantined")
		})
	}
	for range 5 {
		for _, e := range f.entries {
			a := crash(e)
			if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || a.header.Get("Hornbeamwood-Verdict") != "not-run" {
				t.Errorf("%s: status %d, Retry-After %q, verdict %q", e.name, a.status, a.header.Get("Retry-After"), a.header.Get("Hornbeamwood-Verdict"))
			}
		}
	}
	close(stop)
	innocents.Wait()
	if n := f.running(f.engines); n < servers-2 {
		t.Errorf("%d of %d servers still run; at most two may be lost", n, servers)
	}
	for i, e := range f.entries {
		eventually(t, "an innocent request is served by "+e.name, func() bool {
			return complete(e, plantKey, "draft", fmt.Sprintf("innocent %d 0", i), 5).done
		})
	}
	f.operatorClears(t, f.entries[1])
}

// Guards against a call of a plain service that crashes each server that runs it, resent under new keys through
// every entry, and against the refusal of other calls.
func TestCrashingCallIsQuarantined(t *testing.T) {
	const servers = 5
	f := newFleet(t, 3, 3)
	f.startNodes()
	var services []*host
	for i := range servers {
		services = append(services, f.startStandin(fmt.Sprint("stamp-", i+1), "service", "[service]\nnames = [\"stamp\"]\ncrashes = true\n"))
	}
	f.applyTree(f.entries[0], smallTree())
	n := 0
	send := func(e *host, body string) answer {
		n++
		return call{
			method: http.MethodPost, url: e.url() + "/services/stamp/issue", key: gateKey, body: body,
			header: map[string]string{"Idempotency-Key": fmt.Sprint("key-", n)},
		}.do()
	}
	for _, e := range f.entries {
		eventually(t, "the service is served by "+e.name, func() bool { return send(e, "harmless").status == http.StatusCreated })
	}
	for _, e := range f.entries {
		eventually(t, "the call is quarantined at "+e.name, func() bool {
			return strings.Contains(send(e, service.CrashMarker).body, "request-quarantined")
		})
	}
	for range 5 {
		for _, e := range f.entries {
			a := send(e, service.CrashMarker)
			if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || a.header.Get("Hornbeamwood-Verdict") != "not-run" {
				t.Errorf("%s: status %d, Retry-After %q, verdict %q", e.name, a.status, a.header.Get("Retry-After"), a.header.Get("Hornbeamwood-Verdict"))
			}
			if a := send(e, "harmless"); a.status != http.StatusCreated {
				t.Errorf("%s: another call got %d %s", e.name, a.status, a.body)
			}
		}
	}
	if n := f.running(services); n < servers-2 {
		t.Errorf("%d of %d servers still run; at most two may be lost", n, servers)
	}
	f.operatorClears(t, f.entries[1])
}

// operatorClears removes the request from quarantine and checks that every entry removes it.
func (f *fleet) operatorClears(t *testing.T, e *host) {
	list := func(e *host) []string {
		a := call{method: http.MethodGet, url: e.url() + "/quarantine", key: operatorKey}.do()
		var l struct {
			Items []struct {
				Fingerprint string `json:"fingerprint"`
				Standing    string `json:"standing"`
			} `json:"items"`
		}
		if json.Unmarshal([]byte(a.body), &l) != nil {
			return nil
		}
		var all []string
		for _, i := range l.Items {
			if i.Standing == "quarantined" {
				all = append(all, i.Fingerprint)
			}
		}
		return all
	}
	found := list(e)
	if len(found) != 1 {
		t.Fatalf("%d requests in quarantine, want 1", len(found))
	}
	a := call{method: http.MethodPost, url: e.url() + "/quarantine/clear", key: operatorKey, body: fmt.Sprintf(`{"fingerprint": %q}`, found[0])}.do()
	if a.status != http.StatusNoContent {
		t.Fatalf("clear: %d %s", a.status, a.body)
	}
	for _, x := range f.entries {
		eventually(t, x.name+" has an empty quarantine", func() bool { return len(list(x)) == 0 })
	}
}

// pieceOf returns a text that fills one piece of a prompt in the small tree.
func pieceOf(text string) string {
	const pieceBytes = 256 * 4
	return (text + strings.Repeat(".", pieceBytes))[:pieceBytes]
}

// Guards against prompts that share a piece which crashes each engine that runs them, no two alike, sent through every
// entry; and against the refusal of prompts that share everything else with them.
func TestPieceThatCrashesEnginesIsQuarantined(t *testing.T) {
	const servers, allowed = 8, 5
	f := newFleet(t, 3, 3)
	f.startNodes()
	for i := range servers {
		f.engines = append(f.engines, f.startStandin(fmt.Sprintf("engine-%d", i+1), "engine", crashingEngine))
	}
	f.applyTree(f.entries[0], smallTree())
	for _, e := range f.entries {
		f.serves(e, gateKey, "draft")
	}
	instructions, crashing := pieceOf("instructions"), pieceOf(engine.CrashMarker)
	n := 0
	crash := func(e *host) answer {
		n++
		b, _ := json.Marshal(map[string]any{"model": "draft", "prompt": instructions + crashing + fmt.Sprint("crash ", n), "stream": true})
		return call{method: http.MethodPost, url: e.url() + "/v1/completions", key: gateKey, body: string(b)}.do()
	}
	sound := func(e *host, i int) bool {
		return complete(e, gateKey, "draft", instructions+pieceOf(fmt.Sprint("document ", i%3))+fmt.Sprint("sound ", n, i), 5).done
	}
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(200 * time.Millisecond) {
		for i, e := range f.entries {
			sound(e, i)
		}
		crash(f.entries[n%len(f.entries)])
	}
	if lost := servers - f.running(f.engines); lost > allowed {
		t.Errorf("%d of %d engines were lost, want at most %d", lost, servers, allowed)
	}
	for i, e := range f.entries {
		a := crash(e)
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || a.header.Get("Hornbeamwood-Verdict") != "not-run" || !strings.Contains(a.body, "request-quarantined") {
			t.Errorf("%s: status %d, Retry-After %q, verdict %q, %s", e.name, a.status, a.header.Get("Retry-After"), a.header.Get("Hornbeamwood-Verdict"), a.body)
		}
		if !sound(e, i) {
			t.Errorf("%s doesn't serve a prompt that shares the instructions", e.name)
		}
	}
}
