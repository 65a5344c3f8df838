package hornbeamwood_test

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/standin/engine"
)

const (
	gateKey  = "gate-key"
	plantKey = "plant-key"
)

// smallTree is a settings tree with one model, one non-idempotent service and two workspaces.
func smallTree() string {
	return fmt.Sprintf(`
[fleet]
announce-key-digests = [%q]

[operators.ana]
key-digests = [%q]

[models.draft]
weight-version = "v1"
piece-tokens = 256

[services.stamp]
non-idempotent = true

[workspaces.gate]
region = "andes-centro"
key-digests = [%q]
[workspaces.gate.models.draft]
[workspaces.gate.services.stamp]

[workspaces.plant]
region = "andes-centro"
key-digests = [%q]
[workspaces.plant.models.draft]
[workspaces.plant.services.stamp]
`, digest.Of(announceKey), digest.Of(operatorKey), digest.Of(gateKey), digest.Of(plantKey))
}

const engineTable = `
[engine]
models = ["draft"]
weight-version = "v1"
prefill-rate = 200000
decode-rate = 500
max-running = 16
cache-pieces = 12
piece-bytes = 16384
checks-fencing = true
`

// applyTree sends a whole tree through an entry until it is accepted.
func (f *fleet) applyTree(h *host, tree string) {
	f.t.Helper()
	eventually(f.t, "the tree is accepted", func() bool {
		a := call{
			method: http.MethodPut, url: h.url() + "/settings/?wait=in-force", key: operatorKey, body: tree,
			header: map[string]string{"Content-Type": "application/toml", "If-Match": `"0"`, "Idempotency-Key": "first"},
		}.do()
		if a.status/100 == 4 {
			f.t.Fatalf("the tree was refused: %d %s", a.status, a.body)
		}
		return a.status/100 == 2
	})
}

// serves waits until an entry serves a completion of the model.
func (f *fleet) serves(h *host, key, model string) {
	f.t.Helper()
	eventually(f.t, h.name+" serves "+model, func() bool { return complete(h, key, model, "ready?", 1).status == http.StatusOK })
}

func TestEndToEnd(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.startNodes()
	store := f.startStandin("store-1", "store", "[store]\nmemory-bytes = 8000000\ndisk-bytes = 8000000\nlink-rate = 100000000\n")
	servers := []*host{f.startStandin("engine-1", "engine", engineTable), f.startStandin("engine-2", "engine", engineTable)}
	stamps := f.startStandin("stamp-1", "service", "[service]\nnames = [\"stamp\"]\n")
	f.applyTree(f.entries[0], smallTree())
	for _, e := range f.entries {
		f.serves(e, gateKey, "draft")
	}

	t.Run("a streamed completion arrives complete", func(t *testing.T) {
		prompt := "is lot 7 released?"
		c := complete(f.entries[0], gateKey, "draft", prompt, 12)
		var want strings.Builder
		for i := 1; i <= 12; i++ {
			fmt.Fprintf(&want, "%s-%d ", engine.Digest(prompt), i)
		}
		if !c.done || c.text != want.String() {
			t.Errorf("got %q, done %v; want %q\n%s", c.text, c.done, want.String(), c.raw)
		}
	})

	t.Run("an evicted prompt is served from a store", func(t *testing.T) { returningPrompt(t, f, store, servers) })

	t.Run("a call sent twice runs once", func(t *testing.T) {
		stamp := call{method: http.MethodPost, key: gateKey, body: `{"lot": 7}`, header: map[string]string{"Idempotency-Key": "lot-7"}}
		var answers []answer
		for _, e := range f.entries {
			stamp.url = e.url() + "/services/stamp/issue"
			eventually(t, "the stamp is answered", func() bool {
				a := stamp.do()
				answers = append(answers, a)
				return a.status == http.StatusCreated
			})
		}
		if a, b := answers[len(answers)-2], answers[len(answers)-1]; a.body != b.body {
			t.Errorf("two outcomes: %s and %s", a.body, b.body)
		}
		if n := getJSON[map[string]int](t, stamps.url()+"/standin/executions")["gate/lot-7"]; n != 1 {
			t.Errorf("the stamp ran %d times", n)
		}
	})

	t.Run("the operators' page lists every metric", func(t *testing.T) {
		page, err := os.ReadFile("docs/OPERATORS.md")
		if err != nil {
			t.Fatal(err)
		}
		a := call{method: http.MethodGet, url: f.entries[0].url() + "/metrics"}.do()
		for _, name := range regexp.MustCompile(`(?m)^hornbeamwood_[a-z_]+`).FindAllString(a.body, -1) {
			name = strings.TrimSuffix(strings.TrimSuffix(strings.TrimSuffix(name, "_bucket"), "_sum"), "_count")
			if !strings.Contains(string(page), name) {
				t.Errorf("%s is not listed", name)
			}
		}
	})

	t.Run("every process stops with exit code 0", func(t *testing.T) {
		f.stopAll(append([]*host{stamps, store}, servers...))
		f.stopAll(f.entries)
		f.stopAll(f.controls)
	})
}

// A dossier is sent again after other prompts have evicted its cache from the engines'
// memory, and once more after all entries were restarted. It needs a full prefill unless
// a store still has the pieces and the entries know of them.
func returningPrompt(t *testing.T, f *fleet, store *host, servers []*host) {
	dossier := strings.Repeat("specification of coatings and lots; ", 230)
	if c := complete(f.entries[0], gateKey, "draft", dossier, 4); !c.done {
		t.Fatalf("first run: %s", c.raw)
	}
	type pieces struct {
		Pieces []struct{} `json:"pieces"`
	}
	eventually(t, "the pieces are in the store", func() bool {
		return len(getJSON[pieces](t, store.url()+"/pieces").Pieces) >= 8
	})
	f.evictAndResend(t, servers, dossier)
	for _, e := range f.entries {
		f.restart(e, f.startEntry, true)
	}
	for _, e := range f.entries {
		f.serves(e, gateKey, "draft")
	}
	f.evictAndResend(t, servers, dossier)
	for _, s := range servers {
		if r := getJSON[engine.Report](t, s.url()+"/standin/report"); r.WrongPieces != 0 {
			t.Errorf("%s imported %d wrong pieces", s.name, r.WrongPieces)
		}
	}
}

// evictAndResend evicts a prompt from the engines' memory by prompts of another workspace and
// sends it again, until its pieces come from the store.
func (f *fleet) evictAndResend(t *testing.T, servers []*host, prompt string) {
	t.Helper()
	eventually(t, "the prompt is served from the store", func() bool {
		for i := range 4 {
			f.fillers++
			complete(f.entries[i%2], plantKey, "draft", strings.Repeat(fmt.Sprintf("filler %d of other plants; ", f.fillers), 300), 1)
		}
		before := importedBytes(t, servers)
		c := complete(f.entries[1], gateKey, "draft", prompt, 4)
		return c.done && c.cached > 0 && importedBytes(t, servers) > before
	})
}

func importedBytes(t *testing.T, servers []*host) int {
	n := 0
	for _, s := range servers {
		n += getJSON[engine.Report](t, s.url()+"/standin/report").ImportedBytes
	}
	return n
}
