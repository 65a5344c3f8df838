package store

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
)

var key = block.Scope{PieceTokens: 1}.Root()

// fake is a store with one piece.
type fake struct {
	generation uint64
	deletes    int
}

func (f *fake) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/usage":
		fmt.Fprint(w, `{"incarnation":4,"memory":{"bytes":100,"free-bytes":40},"disk":{"bytes":1000,"free-bytes":400},"link-rate":5e6,"link-queued":7}`)
	case r.URL.Path == "/pieces" && r.URL.Query().Get("after") == "":
		fmt.Fprintf(w, `{"pieces":[{"key":"%s","generation":%d,"bytes":9,"tier":"disk"}],"next":"%s"}`, key, f.generation, key)
	case r.URL.Path == "/pieces":
		fmt.Fprint(w, `{"pieces":[]}`)
	case f.generation == 0 || r.URL.Path != "/pieces/"+key.String():
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodHead:
		w.Header().Set("ETag", Tag(f.generation))
		w.Header().Set(tierHeader, "disk")
		w.Header().Set("Content-Length", "9")
	case r.Header.Get("If-Match") != Tag(f.generation):
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		f.generation = 0
		f.deletes++
		w.WriteHeader(http.StatusNoContent)
	}
}

func TestClient(t *testing.T) {
	f := &fake{generation: 7}
	s := httptest.NewServer(http.HandlerFunc(f.serve))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	c, ctx := New(&http.Client{}), context.Background()
	want := Piece{Key: key, Generation: 7, Bytes: 9, Tier: directory.Disk}
	if p, ok, err := c.Head(ctx, address, key); p != want || !ok || err != nil {
		t.Errorf("head: got %v, %v, %v", p, ok, err)
	}
	page, err := c.List(ctx, address, block.Key{})
	if err != nil || page.Last || page.Next != key || page.Pieces[0] != want {
		t.Errorf("list: got %v, %v", page, err)
	}
	if page, err = c.List(ctx, address, page.Next); err != nil || !page.Last || len(page.Pieces) != 0 {
		t.Errorf("last page: got %v, %v", page, err)
	}
	if u, err := c.Usage(ctx, address); err != nil || u.Memory.FreeBytes != 40 || u.Disk.Bytes != 1000 {
		t.Errorf("usage: got %v, %v", u, err)
	}
	if err := c.Delete(ctx, address, key, 6); err != nil || f.deletes != 0 {
		t.Errorf("delete of an old generation: %v, %d deleted", err, f.deletes)
	}
	if err := c.Delete(ctx, address, key, 7); err != nil || f.deletes != 1 {
		t.Errorf("delete: %v, %d deleted", err, f.deletes)
	}
	if _, ok, err := c.Head(ctx, address, key); ok || err != nil {
		t.Errorf("head after delete: got %v, %v", ok, err)
	}
}

// A store behind a broken proxy returns invalid pages and tags. If they were
// accepted, they would cause reads of generation zero.
func TestInvalidAnswersAreRefused(t *testing.T) {
	for _, body := range []string{
		`[]`, `{"pieces":[{"key":"00"}]}`,
		`{"pieces":[{"key":"` + key.String() + `","generation":0,"bytes":1,"tier":"disk"}]}`,
		`{"pieces":[{"key":"` + key.String() + `","generation":1,"bytes":1,"tier":"tape"}]}`,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }))
		if _, err := New(&http.Client{}).List(context.Background(), strings.TrimPrefix(s.URL, "http://"), block.Key{}); err == nil {
			t.Errorf("%s was accepted", body)
		}
		s.Close()
	}
	for _, tag := range []string{"", "7", `"`, `""`, `"0"`, `"-1"`, `W/"7"`, `"18446744073709551615"`} {
		if _, err := ParseTag(tag); err == nil {
			t.Errorf("%s was accepted", tag)
		}
	}
}
