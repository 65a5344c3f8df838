package hornbeamwood_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/standin/engine"
)

// balancer selects entries whose readiness check passed recently, as the platform's load balancer does.
type balancer struct {
	mu    sync.Mutex
	ready []*host
	next  int
}

const healthInterval = 200 * time.Millisecond

// watch polls the entries until stop is closed.
func (b *balancer) watch(entries []*host, stop <-chan struct{}) {
	for {
		var ready []*host
		for _, e := range entries {
			if (call{method: http.MethodGet, url: e.url() + "/readyz"}).do().status == http.StatusOK {
				ready = append(ready, e)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(healthInterval):
		}
	}
}

func (b *balancer) pick() *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// slowEngine decodes so slowly that a stream lasts longer than a stopping entry serves new requests.
var slowEngine = strings.Replace(engineTable, "decode-rate = 500", "decode-rate = 20", 1)

// All VMs are restarted one after the other while long streams and stamps run. A planned
// stop must not abort a stream, refuse a request or leave a stamp without its one outcome.
func TestRollingRestartAbortsNoRequest(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.startNodes()
	for i := range 3 {
		f.engines = append(f.engines, f.startStandin(fmt.Sprintf("engine-%d", i+1), "engine", slowEngine))
	}
	stamps := f.startStandin("stamp-1", "service", "[service]\nnames = [\"stamp\"]\ndelay = \"1s\"\n")
	f.applyTree(f.entries[0], smallTree())
	for _, e := range f.entries {
		f.serves(e, gateKey, "draft")
	}
	b, stop := &balancer{}, make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { b.watch(f.entries, stop) })
	eventually(t, "the balancer knows all entries", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.ready) == len(f.entries)
	})
	for i := range 6 {
		running.Go(func() { streamUntil(t, b, fmt.Sprintf("stream %d", i), stop) })
		running.Go(func() { stampUntil(t, b, fmt.Sprintf("stamp-%d", i), stop) })
	}

	for _, h := range f.controls {
		f.restart(h, f.startControl, true)
		eventually(t, h.name+" has caught up", func() bool { return f.replica(f.entries[0], h).CaughtUp })
	}
	for _, h := range f.engines {
		f.restart(h, f.restartStandin, true)
		eventually(t, h.name+" is known again", func() bool { return f.knowsReady(f.entries[0], h) })
	}
	for _, h := range f.entries {
		f.restart(h, f.startEntry, true)
		eventually(t, h.name+" is ready", func() bool {
			return call{method: http.MethodGet, url: h.url() + "/readyz"}.do().status == http.StatusOK
		})
		f.serves(h, gateKey, "draft")
	}
	close(stop)
	running.Wait()
	for key, n := range getJSON[map[string]int](t, stamps.url()+"/standin/executions") {
		if n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// knowsReady returns whether an entry has a recent announcement of the server as ready.
func (f *fleet) knowsReady(e, server *host) bool {
	r, _ := f.status(e)
	for _, s := range r.Servers {
		if s.Identity == server.name {
			return s.State == "ready" && s.AgeMillis < 1500
		}
	}
	return false
}

func streamUntil(t *testing.T, b *balancer, name string, stop <-chan struct{}) {
	const tokens = 100
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		prompt := fmt.Sprintf("%s number %d", name, i)
		e := b.pick()
		if e == nil {
			t.Errorf("%s number %d: no entry is ready", name, i)
			return
		}
		c := complete(e, gateKey, "draft", prompt, tokens)
		if c.status != http.StatusOK || !c.done || strings.Count(c.text, engine.Digest(prompt)) != tokens {
			t.Errorf("%s through %s: status %d, complete %v, %d of %d tokens: %s", prompt, e.name, c.status, c.done, strings.Count(c.text, engine.Digest(prompt)), tokens, tail(c.raw))
			return
		}
	}
}

func stampUntil(t *testing.T, b *balancer, name string, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		e := b.pick()
		if e == nil {
			t.Errorf("%s %d: no entry is ready", name, i)
			return
		}
		a := call{
			method: http.MethodPost, url: e.url() + "/services/stamp/issue", key: gateKey, body: name,
			header: map[string]string{"Idempotency-Key": fmt.Sprintf("%s-%d", name, i)},
		}.do()
		if a.status != http.StatusCreated {
			t.Errorf("%s %d through %s: status %d, %v: %s", name, i, e.name, a.status, a.err, a.body)
			return
		}
	}
}
