package hornbeamwood_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hornbeamwood/internal/settings/digest"
)

// plant is the branch that the edits of these tests change.
const plant = "/settings/workspaces/plant"

// edited is an entry's answer to an edit.
type edited struct {
	Outcome  string `json:"outcome"`
	Revision uint64 `json:"revision"`
	Repeated bool   `json:"repeated"`
	InForce  bool   `json:"in-force"`
	status   int
	body     string
}

// edit sends one edit of a branch through an entry.
func edit(e *host, path, id string, base uint64, body string) edited {
	a := call{
		method: http.MethodPatch, url: e.url() + path, key: operatorKey, body: body,
		header: map[string]string{"Content-Type": "application/toml", "If-Match": fmt.Sprintf("%q", fmt.Sprint(base)), "Idempotency-Key": id},
	}.do()
	x := edited{status: a.status, body: a.body}
	if a.status/100 == 2 {
		_ = json.Unmarshal([]byte(a.body), &x)
	}
	return x
}

// accept sends an edit with the same ID until an entry accepts it.
func (f *fleet) accept(e *host, path, id string, base uint64, body string) edited {
	f.t.Helper()
	var x edited
	eventually(f.t, id+" is accepted", func() bool {
		x = edit(e, path, id, base, body)
		if x.status/100 == 4 {
			f.t.Fatalf("%s: %d %s", id, x.status, x.body)
		}
		return x.Outcome == "accepted"
	})
	return x
}

// revision returns the newest revision that an entry reads, 0 while it can't read it.
func revision(e *host) uint64 {
	a := call{method: http.MethodGet, url: e.url() + "/settings/fleet", key: operatorKey}.do()
	var n uint64
	if a.status == http.StatusOK {
		_, _ = fmt.Sscanf(a.header.Get("ETag"), `"%d"`, &n)
	}
	return n
}

func priority(n int) string {
	return fmt.Sprintf("priority = %d\n", n%100)
}

// settingsFleet returns a running fleet of three replicas and two entries at revision 1.
func settingsFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, 3, 2)
	f.startNodes()
	f.engines = append(f.engines, f.startStandin("engine-1", "engine", engineTable))
	f.applyTree(f.entries[0], smallTree())
	for _, e := range f.entries {
		f.serves(e, gateKey, "draft")
		f.serves(e, plantKey, "draft")
	}
	return f
}

func TestSettingsAcrossProcesses(t *testing.T) {
	f := settingsFleet(t)
	a, b := f.entries[0], f.entries[1]
	t.Run("race", func(t *testing.T) { raceThroughTwoEntries(t, a, b) })
	t.Run("verbs", func(t *testing.T) { verbsAgainstAnEntry(t, a) })
	t.Run("suspended entry", func(t *testing.T) { suspendedEntry(t, f, a, b) })
	t.Run("suspended leaders", func(t *testing.T) { suspendedLeaders(t, f) })
	t.Run("lagging replica", func(t *testing.T) { laggingReplica(t, f) })
	t.Run("no quorum", func(t *testing.T) { withoutQuorum(t, f) })
}

// Operators send edits against the same revision through two entries at once. Only one
// may be accepted; a second one would overwrite a change that its operator never saw.
func raceThroughTwoEntries(t *testing.T, a, b *host) {
	base := revision(a)
	results := make([]edited, 8)
	var sent sync.WaitGroup
	for i := range results {
		sent.Go(func() {
			results[i] = edit([]*host{a, b}[i%2], plant, fmt.Sprint("race-", i), base, priority(10+i))
		})
	}
	sent.Wait()
	won := 0
	for i, x := range results {
		if x.Outcome == "accepted" {
			won++
			resent := edit([]*host{b, a}[i%2], plant, fmt.Sprint("race-", i), base, priority(10+i))
			if !resent.Repeated || resent.Revision != x.Revision {
				t.Errorf("resent through the other entry: %+v", resent)
			}
			continue
		}
		if x.status != http.StatusPreconditionFailed || !strings.Contains(x.body, `"operator": "ana"`) {
			t.Errorf("the loser got %d %s", x.status, x.body)
		}
	}
	if won != 1 || revision(b) != base+1 {
		t.Errorf("%d edits won, revision %d after %d", won, revision(b), base)
	}
}

// The command line must work with any entry, print the outcome of an edit, and end with
// the exit code that scripts rely on.
func verbsAgainstAnEntry(t *testing.T, e *host) {
	for _, c := range []struct {
		arguments string
		code      int
		want      string
	}{
		{"set /workspaces/plant deadline 20s --wait in-force", 0, "in force everywhere"},
		{"get /workspaces/plant deadline", 0, "20s"},
		{"explain /workspaces/plant/models/draft deadline", 0, "/workspaces/plant"},
		{"set /workspaces/plant deadline 21s --if-match 1", 1, "conflict: another edit was accepted under the same number"},
		{"set /workspaces/plant dedline 20s", 2, "the nearest known key is deadline"},
		{"history --limit 1", 0, "set /workspaces/plant deadline to 20s"},
		{"get /workspaces/nobody", 1, "the tree has no branch /workspaces/nobody"},
	} {
		arguments := append([]string{"settings"}, strings.Fields(c.arguments)...)
		x := exec.Command(binary(t, "hornbeamwood"), append(arguments, "--entry", e.url())...)
		x.Env = append(x.Environ(), "HORNBEAMWOOD_OPERATOR_KEY="+operatorKey)
		out, _ := x.CombinedOutput()
		if x.ProcessState.ExitCode() != c.code || !strings.Contains(string(out), c.want) {
			t.Errorf("settings %s: exit %d\n%s", c.arguments, x.ProcessState.ExitCode(), out)
		}
	}
}

// An entry VM is suspended while an operator revokes a workspace's key, and resumed after
// the edit is in force. It must not serve callers with that key.
func suspendedEntry(t *testing.T, f *fleet, a, b *host) {
	f.processes[b.name].signal(syscall.SIGSTOP)
	x := f.accept(a, plant+"?wait=in-force", "revoke", revision(a), "key-digests = []\n")
	if !x.InForce {
		t.Fatalf("not in force while an entry is suspended: %s", x.body)
	}
	waiting := sendUnread(t, b, plantKey, 40)
	f.processes[b.name].signal(syscall.SIGCONT)
	for _, c := range waiting {
		if status := readStatus(t, c); status == http.StatusOK {
			t.Error("a pending request was served with a revoked key")
		}
	}
	f.serves(b, gateKey, "draft")
	if c := complete(b, plantKey, "draft", "am I still let in?", 1); c.status == http.StatusOK {
		t.Errorf("served with a revoked key: %s", c.raw)
	}
	key := fmt.Sprintf("key-digests = [%q]\n", digest.Of(plantKey))
	f.accept(a, plant, "give-back", revision(a), key)
	f.serves(b, plantKey, "draft")
}

// sendUnread sends complete requests to an entry that may be suspended, so that it reads them first when it resumes.
func sendUnread(t *testing.T, e *host, key string, n int) []net.Conn {
	t.Helper()
	all := make([]net.Conn, n)
	for i := range all {
		c, err := net.Dial("tcp", net.JoinHostPort(e.ip, fmt.Sprint(httpPort)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		body := `{"model":"draft","prompt":"am I still let in?","max_tokens":1}`
		_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
		if err != nil {
			t.Fatal(err)
		}
		all[i] = c
	}
	return all
}

func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	return r.StatusCode
}

// The leading control VM is suspended for longer than a lease while operators edit, and
// resumed; then the next leader, and so on. A resumed replica must not serve an older
// revision, nor keep the others, including one that was resumed just before, from
// accepting edits.
func suspendedLeaders(t *testing.T, f *fleet) {
	for i := range 3 {
		c := f.leader()
		p := f.processes[c.name]
		p.signal(syscall.SIGSTOP)
		last := editsFor(t, f, 6*time.Second, fmt.Sprint("suspended-", i))
		p.signal(syscall.SIGCONT)
		if last == 0 {
			t.Errorf("no edit was accepted while %s was suspended", c.name)
		}
		for range 100 {
			for _, e := range f.entries {
				if r := revision(e); r != 0 && r < last {
					t.Fatalf("%s reads revision %d after %d once %s was resumed", e.name, r, last, c.name)
				}
			}
		}
	}
}

// leader returns the replica that was elected in the highest term according to the replicas' logs.
func (f *fleet) leader() *host {
	var leader *host
	highest := -1
	for _, c := range f.controls {
		for line := range strings.Lines(f.processes[c.name].output.String()) {
			_, after, elected := strings.Cut(line, "message=leader-elected ")
			_, text, _ := strings.Cut(after, "term=")
			term := 0
			if _, err := fmt.Sscan(text, &term); elected && err == nil && term > highest {
				leader, highest = c, term
			}
		}
	}
	if leader == nil {
		f.t.Fatal("no replica logged that it was elected")
	}
	return leader
}

// editsFor sends edits through all entries in turn for the given time and returns the last accepted revision, 0 for none.
func editsFor(t *testing.T, f *fleet, d time.Duration, name string) uint64 {
	last := uint64(0)
	until := time.Now().Add(d)
	for n := 0; time.Now().Before(until); n++ {
		e := f.entries[n%len(f.entries)]
		base := revision(e)
		if base == 0 {
			continue
		}
		if base < last {
			t.Errorf("%s reads revision %d after %d", e.name, base, last)
		}
		x := edit(e, plant, fmt.Sprintf("%s-%d", name, n), base, priority(n))
		last = max(last, x.Revision)
	}
	return last
}

// A control VM misses hundreds of edits and restarts, and another one is lost right
// after it has caught up. No accepted edit may be lost. An operator who lost the answer
// to the first edit and resends it must still get the first outcome.
func laggingReplica(t *testing.T, f *fleet) {
	const edits = 300
	lagging, lost := f.controls[2], f.controls[0]
	f.processes[lagging.name].kill()
	e := f.entries[0]
	var first, last edited
	firstBase := uint64(0)
	eventually(t, "the control log answers", func() bool { firstBase = revision(e); return firstBase != 0 })
	for i := range edits {
		last = f.accept(e, plant, fmt.Sprint("hundreds-", i), firstBase+uint64(i), priority(i))
		if i == 0 {
			first = last
		}
	}
	f.startControl(lagging)
	eventually(t, "the lagging replica has caught up", func() bool {
		return strings.Contains(f.processes[lagging.name].output.String(), "process-started") && revision(f.entries[1]) == last.Revision
	})
	f.processes[lost.name].kill()
	eventually(t, "the lagging replica and the remaining one answer", func() bool { return revision(e) != 0 })
	if r := revision(f.entries[1]); r != last.Revision {
		t.Errorf("revision %d after %d", r, last.Revision)
	}
	resent := f.accept(f.entries[1], plant, "hundreds-0", firstBase, priority(0))
	if !resent.Repeated || resent.Revision != first.Revision {
		t.Errorf("resent: %+v, first %+v", resent, first)
	}
	f.startControl(lost)
}

// Two of three control VMs are lost, so no entry can know whether its settings are still
// the newest. Within the duration of a lease each entry refuses new work with the verdict
// not-run and fails its readiness check. When one VM is back, the entries serve again.
func withoutQuorum(t *testing.T, f *fleet) {
	for _, c := range f.controls[:2] {
		f.processes[c.name].kill()
	}
	for _, e := range f.entries {
		eventually(t, e.name+" refuses new work", func() bool {
			a := call{method: http.MethodPost, url: e.url() + "/v1/completions", key: gateKey, body: `{"model":"draft","prompt":"x","max_tokens":1}`}.do()
			return a.status == http.StatusServiceUnavailable && a.header.Get("Hornbeamwood-Verdict") == "not-run" && a.header.Get("Retry-After") != ""
		})
		eventually(t, e.name+" is not ready", func() bool {
			return call{method: http.MethodGet, url: e.url() + "/readyz"}.do().status == http.StatusServiceUnavailable
		})
	}
	f.startControl(f.controls[0])
	for _, e := range f.entries {
		f.serves(e, gateKey, "draft")
	}
}
