package hornbeamwood_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"hornbeamwood/internal/standin/backend"
)

const backoffTable = "[backoff]\ninterval = \"4s\"\ntime = \"2s\"\n"

// Guards against work for engines and services that have requested a backoff, and against callers that are refused
// although another server is free.
func TestServersInBackoffGetNoWork(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.startNodes()
	inBackoff := []*host{
		f.startStandin("engine-1", "engine", backoffTable+engineTable),
		f.startStandin("stamp-1", "service", backoffTable+"[service]\nnames = [\"stamp\"]\n"),
	}
	f.startStandin("engine-2", "engine", engineTable)
	f.startStandin("stamp-2", "service", "[service]\nnames = [\"stamp\"]\n")
	e := f.entries[0]
	f.applyTree(e, smallTree())
	f.serves(e, gateKey, "draft")
	stamp := func(key string) answer {
		return call{
			method: http.MethodPost, url: e.url() + "/services/stamp/issue", key: gateKey, body: key,
			header: map[string]string{"Idempotency-Key": key},
		}.do()
	}
	eventually(t, "the service is served", func() bool { return stamp("first").status == http.StatusCreated })
	refused, n := 0, 0
	for began := time.Now(); time.Since(began) < 9*time.Second; n++ {
		if !complete(e, gateKey, "draft", fmt.Sprint("prompt ", n), 3).done {
			refused++
		}
		if stamp(fmt.Sprint("stamp-", n)).status != http.StatusCreated {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d requests were not served", refused, 2*n)
	}
	for _, h := range inBackoff {
		r := getJSON[backend.BackoffReport](t, h.url()+backend.BackoffsPath)
		if r.Refused == 0 || r.Late > 0 {
			t.Errorf("%s refused %d requests, %d of them too late", h.name, r.Refused, r.Late)
		}
		t.Logf("%s: %+v of %d", h.name, r, n)
	}
}
