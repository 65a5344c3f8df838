package settings

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/entry/operator"
	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/follower"
	"hornbeamwood/internal/settings/section"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// fakeEntry is an entry with a control log of one replica. It drops the responses to the next dropResponses edits.
type fakeEntry struct {
	section       section.Section
	follower      follower.Follower
	dropResponses atomic.Int32
}

// Propose implements operator.Log. All commands have the same time, for the golden files.
func (e *fakeEntry) Propose(_ context.Context, _ string, body []byte) ([]byte, error) {
	b := e.section.Apply(time.Unix(1_800_000_000, 0), body)
	_, err := e.follower.Apply(e.section.Changes(e.follower.View().Revision()))
	return b, err
}

// Read implements operator.Log.
func (e *fakeEntry) Read(_ context.Context, _ string, body []byte) ([]byte, error) {
	return e.section.Query(body)
}

// Check implements operator.Lease.
func (e *fakeEntry) Check() error { return nil }

// Wait implements operator.InForceWaiter.
func (e *fakeEntry) Wait(context.Context, uint64) error { return nil }

// newFakeEntry returns a fakeEntry and the Config that reaches it, with one operator at revision 1.
func newFakeEntry(t *testing.T) (*fakeEntry, Config) {
	t.Helper()
	e := &fakeEntry{section: section.New(), follower: follower.New()}
	handler := operator.New(operator.Config{Log: e, Settings: e.follower, Lease: e, InForce: e, BootstrapKeyDigest: digest.Of("bootstrap")})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && e.dropResponses.Add(-1) >= 0 {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	c := Config{Entry: server.URL, Key: "bootstrap", Client: server.Client(), RetryDelay: time.Millisecond, EditID: "setup", File: treeFile(t)}
	if err := Apply(t.Context(), c, &bytes.Buffer{}); err != nil {
		t.Fatal(err)
	}
	c.Key, c.EditID, c.File = "ana-key", "edit-1", ""
	return e, c
}

// treeFile returns the path of testdata/tree.toml with the digest of "ana-key".
func treeFile(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("testdata/tree.toml")
	if err != nil {
		t.Fatal(err)
	}
	const marker = "ANA-KEY"
	path := filepath.Join(t.TempDir(), "tree.toml")
	if err := os.WriteFile(path, []byte(strings.Replace(string(b), marker, digest.Of("ana-key").String(), 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// golden compares got with a file under testdata.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(want, got) {
		t.Errorf("%s:\n%s\nwant:\n%s", name, got, want)
	}
}

func revision(t *testing.T, e *fakeEntry) uint64 {
	t.Helper()
	b, err := codec.Marshal(section.Query{Kind: section.QueryHistory})
	if err != nil {
		t.Fatal(err)
	}
	a, err := e.section.Query(b)
	if err != nil {
		t.Fatal(err)
	}
	x, err := codec.Unmarshal[section.History](a)
	if err != nil {
		t.Fatal(err)
	}
	return x.Revision
}
