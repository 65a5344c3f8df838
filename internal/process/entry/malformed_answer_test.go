package entry

import (
	"context"
	"net/http"
	"testing"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/store"
	"hornbeamwood/internal/entry/backend"
	"hornbeamwood/internal/fleet/orders"
	"hornbeamwood/internal/node/httphead/responsetest"
)

// Guards against a piece that counts as held or as deleted, and an order that counts as carried out or as one that was never
// taken, because of an answer whose status is none, or with a malformed name in a head or a trailer.
func TestMalformedAnswersOfServersAreNone(t *testing.T) {
	key := block.Scope{PieceTokens: 1}.Root()
	ctx := context.Background()
	for name, x := range map[string]struct {
		status, fields, body string
		do                   func(address string) error
	}{
		"piece": {"HTTP/1.1 200 OK", "ETag: \"7\"\r\nHornbeamwood-Tier: disk\r\n", "piece", func(address string) error {
			_, _, err := store.New(newHTTPClient()).Head(ctx, address, key)
			return err
		}},
		"no piece": {"HTTP/1.1 404 Not Found", "", "", func(address string) error {
			_, _, err := store.New(newHTTPClient()).Head(ctx, address, key)
			return err
		}},
		"deletion": {"HTTP/1.1 204 No Content", "", "", func(address string) error {
			return store.New(newHTTPClient()).Delete(ctx, address, key, 7)
		}},
		"usage": {"HTTP/1.1 200 OK", "", `{"incarnation":4}`, func(address string) error {
			_, err := store.New(newHTTPClient()).Usage(ctx, address)
			return err
		}},
		"order": {"HTTP/1.1 200 OK", "", `{"id":"o-1","state":"done"}`, func(address string) error {
			_, err := backend.NewEngine(newHTTPClient()).Order(ctx, address, orders.Order{ID: "o-1"})
			return err
		}},
		"refused order": {"HTTP/1.1 503 Busy", "", `{"error":{"code":"leaving","message":"m"}}`, func(address string) error {
			_, err := backend.NewEngine(newHTTPClient()).Order(ctx, address, orders.Order{ID: "o-1"})
			if verdict.Of(err) == verdict.NotRun {
				return nil
			}
			return err
		}},
	} {
		answers := responsetest.MalformedNames(x.status, x.fields, x.body)
		answers = append(answers, responsetest.Malformed{Name: "status 000", Text: "HTTP/1.1 000 OK\r\n" + x.fields + "Content-Length: 0\r\n\r\n"})
		for _, a := range answers {
			if a.Trailer && x.body == "" || a.Trailer && name == "piece" {
				continue
			}
			t.Run(name+" "+a.Name, func(t *testing.T) {
				t.Parallel()
				s := responsetest.NewServer(t, func(*http.Request) string { return a.Text })
				if err := x.do(s.Address); err == nil {
					t.Error("the answer counts")
				}
			})
		}
	}
}
