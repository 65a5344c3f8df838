package hornbeamwood_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against calls of a plain service that are refused because entries go on sending them to a server that is
// lost, while its last announcement is valid and another server is free.
func TestLostServiceIsLeftOut(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.startNodes()
	lost := f.startStandin("stamp-1", "service", "[service]\nnames = [\"stamp\"]\n")
	f.startStandin("stamp-2", "service", "[service]\nnames = [\"stamp\"]\n")
	e := f.entries[0]
	f.applyTree(e, smallTree())
	n := 0
	stamp := func() int {
		n++
		return call{
			method: http.MethodPost, url: e.url() + "/services/stamp/issue", key: gateKey, body: "x",
			header: map[string]string{"Idempotency-Key": fmt.Sprint("key-", n)},
		}.do().status
	}
	for range 20 {
		eventually(t, "the service is served", func() bool { return stamp() == http.StatusCreated })
	}
	f.processes[lost.name].signal(syscall.SIGKILL)
	refused, all := 0, 0
	for began := time.Now(); time.Since(began) < 4*time.Second; all++ {
		if stamp() != http.StatusCreated {
			refused++
		}
	}
	// The call that runs when the server is killed may fail.
	if refused > 1 {
		t.Errorf("%d of %d calls were not served beside a free server", refused, all)
	}
}
