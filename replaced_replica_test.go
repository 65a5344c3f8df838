package hornbeamwood_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"hornbeamwood/internal/entry/status"
)

// status requests the status of the deployment from an entry.
func (f *fleet) status(h *host) (status.Report, bool) {
	a := call{method: http.MethodGet, url: h.url() + "/status", key: operatorKey}.do()
	var r status.Report
	ok := a.status == http.StatusOK && json.Unmarshal([]byte(a.body), &r) == nil
	return r, ok
}

// replica returns the status of one control replica as an entry sees it.
func (f *fleet) replica(seen, h *host) status.Replica {
	r, _ := f.status(seen)
	for _, x := range r.Replicas {
		if x.Name == h.name {
			return x
		}
	}
	return status.Replica{}
}

// patch edits a branch of the settings against the newest revision and returns the answer.
func (f *fleet) patch(h *host, id, branch, body string) answer {
	got := call{method: http.MethodGet, url: h.url() + "/settings" + branch, key: operatorKey}.do()
	if got.status != http.StatusOK {
		return got
	}
	return call{
		method: http.MethodPatch, url: h.url() + "/settings" + branch, key: operatorKey, body: body,
		header: map[string]string{"Content-Type": "application/toml", "If-Match": got.header.Get("ETag"), "Idempotency-Key": id},
	}.do()
}

// accepted sends an edit until it is accepted.
func (f *fleet) accepted(h *host, id, branch, body string) {
	f.t.Helper()
	eventually(f.t, "edit "+id+" is accepted", func() bool { return f.patch(h, id, branch, body).status == http.StatusOK })
}

// A control VM loses its disk and restarts under its old name and address. If it voted
// at once, it and one other replica could elect a leader that lacks accepted edits, and
// an operator would see a setting revert. It must have no vote until an operator admits
// it. After that, the loss of a second VM must be tolerated.
func TestReplacedReplicaAndASecondLoss(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.startNodes()
	f.applyTree(f.entries[0], smallTree())
	for i := range 30 {
		f.accepted(f.entries[i%2], fmt.Sprintf("before-%d", i), "/workspaces/gate", fmt.Sprintf("max-in-flight = %d\n", 100+i))
	}
	lost, second, third := f.controls[2], f.controls[0], f.controls[1]
	f.processes[lost.name].kill()
	if err := os.RemoveAll(filepath.Join(f.folder, "data-"+lost.name)); err != nil {
		t.Fatal(err)
	}
	f.startControl(lost)
	eventually(t, "the replaced replica runs without a vote", func() bool { return f.replica(f.entries[0], lost).Role == "blank" })

	f.processes[third.name].signal(syscall.SIGSTOP)
	for i := range 3 {
		if a := f.patch(f.entries[0], fmt.Sprintf("no-quorum-%d", i), "/fleet", "weight-loads = 3\n"); a.status == http.StatusOK {
			t.Fatalf("an edit was accepted by one replica and one without a vote: %s", a.body)
		}
	}
	f.processes[third.name].signal(syscall.SIGCONT)

	identity := f.replica(f.entries[0], lost).Identity
	eventually(t, "the identity is known", func() bool {
		identity = f.replica(f.entries[0], lost).Identity
		return identity != ""
	})
	f.accepted(f.entries[0], "admit", "/fleet", fmt.Sprintf("admitted-replicas = %q\n", identity))
	eventually(t, "the replaced replica has caught up", func() bool {
		r := f.replica(f.entries[1], lost)
		return r.Role == "follower" && r.CaughtUp && r.Identity == identity
	})
	f.accepted(f.entries[0], "after-repair", "/workspaces/gate", "max-in-flight = 300\n")
	eventually(t, "it votes in place of the lost replica", func() bool {
		r := f.replica(f.entries[1], lost)
		return r.Votes && r.Voters == 3
	})

	f.processes[second.name].kill()
	f.accepted(f.entries[1], "after-second-loss", "/workspaces/gate", "max-in-flight = 301\n")
	a := call{method: http.MethodGet, url: f.entries[1].url() + "/settings-history?limit=200", key: operatorKey}.do()
	var h struct {
		Records []struct {
			ID string `json:"edit-id"`
		} `json:"records"`
	}
	if err := json.Unmarshal([]byte(a.body), &h); err != nil {
		t.Fatal(err)
	}
	kept := make(map[string]bool)
	for _, r := range h.Records {
		kept[r.ID] = true
	}
	for _, id := range []string{"first", "before-0", "before-29", "admit", "after-repair", "after-second-loss"} {
		if !kept[id] {
			t.Errorf("the accepted edit %s is lost: %s", id, a.body)
		}
	}
}
