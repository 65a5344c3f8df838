package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/fleet/orders"
)

func serve(t *testing.T, f http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

// An order whose response is lost may have run; an order that was never sent has
// not. The controller resends only in the second case, so with a wrong verdict
// an engine would load weights twice or not at all.
func TestOrderVerdicts(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cut := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	})
	cases := []struct {
		name, address string
		want          verdict.Verdict
		is            error
	}{
		{"connection refused", closed.Addr().String(), verdict.NotRun, nil},
		{"no answer", cut, verdict.MayHaveRun, nil},
		{"old fencing", serve(t, reply(409, `{"error":{"code":"old-fencing","message":"m"},"fencing":9}`)), verdict.NotRun, ErrOldFencing},
		{"leaving", serve(t, reply(503, `{"error":{"code":"leaving","message":"m"}}`)), verdict.NotRun, nil},
		{"503 of a proxy", serve(t, reply(503, `<html>`)), verdict.MayHaveRun, nil},
		{"unknown order", serve(t, reply(404, `{"error":{"code":"unknown","message":"m"}}`)), verdict.NotRun, ErrUnknownOrder},
		{"another order", serve(t, reply(200, `{"id":"o-2","state":"done"}`)), verdict.MayHaveRun, nil},
		{"unknown state", serve(t, reply(200, `{"id":"o-1","state":"soon"}`)), verdict.MayHaveRun, nil},
		{"not JSON", serve(t, reply(200, `done`)), verdict.MayHaveRun, nil},
	}
	e := NewEngine(&http.Client{})
	for _, c := range cases {
		_, err := e.Order(context.Background(), c.address, orders.Order{ID: "o-1", Kind: orders.LoadWeights})
		if err == nil || verdict.Of(err) != c.want {
			t.Errorf("%s: got %v", c.name, err)
		}
		if c.is != nil && !errors.Is(err, c.is) {
			t.Errorf("%s: %v is not %v", c.name, err, c.is)
		}
	}
	ok := serve(t, reply(200, `{"id":"o-1","state":"running"}`))
	a, err := e.ReadOrder(context.Background(), ok, "o-1")
	if err != nil || a.State != orders.Running {
		t.Errorf("got %v, %v", a, err)
	}
}

// An engine reports a piece as sealed that was not requested, or without a
// generation. If such a result were accepted, the store could not verify a later read.
func TestExportResultsAreChecked(t *testing.T) {
	k := block.Scope{PieceTokens: 1}.Root()
	x := Export{Pieces: []ExportPiece{{Key: k, Store: "10.0.0.9:7000", Tier: "memory"}}}
	result := `{"results":[{"key":"` + k.String() + `","store":"10.0.0.9:7000","state":"sealed","generation":3,"bytes":9}]}`
	e := NewEngine(&http.Client{})
	r, err := e.Export(context.Background(), serve(t, reply(200, result)), x)
	if err != nil || r.Results[0].Generation != 3 {
		t.Fatalf("got %v, %v", r, err)
	}
	for _, bad := range []string{
		strings.Replace(result, `"generation":3,`, "", 1),
		strings.Replace(result, `"bytes":9`, `"bytes":0`, 1),
		strings.Replace(result, "10.0.0.9", "10.0.0.8", 1),
	} {
		if _, err := e.Export(context.Background(), serve(t, reply(200, bad)), x); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}
