package operator

import (
	"net/http"
)

// Routes are the patterns under which the handler belongs in the entry's mux.
var Routes = []string{
	"/settings", "/settings/",
	"/settings-explain", "/settings-explain/",
	"/settings-history", "/settings-diff",
}

// handler answers operators.
type handler struct {
	Config
}

// action answers one request of a known operator.
type action func(w http.ResponseWriter, r *http.Request, operator string) error

// New returns the handler of all Routes.
func New(c Config) http.Handler {
	h := &handler{Config: c.withDefaults()}
	mux := http.NewServeMux()
	for _, route := range []string{"/settings", "/settings/{path...}"} {
		mux.Handle("GET "+route, h.known(h.branch))
		mux.Handle("PUT "+route, h.known(h.put))
		mux.Handle("PATCH "+route, h.known(h.patch))
		mux.Handle("DELETE "+route, h.known(h.remove))
	}
	for _, route := range []string{"/settings-explain", "/settings-explain/{path...}"} {
		mux.Handle("GET "+route, h.known(h.explain))
	}
	mux.Handle("GET /settings-history", h.known(h.history))
	mux.Handle("GET /settings-diff", h.known(h.diff))
	for _, a := range c.Actions {
		mux.Handle(a.Pattern, h.known(a.Run))
	}
	return mux
}

// known lets only operators through to a.
//
// An entry that is cut off may still hold the key of an operator who was
// removed; the lease is asked first, so that such an entry lets nobody in.
func (h *handler) known(a action) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := h.Lease.Check(); err != nil {
			fail(w, err)
			return
		}
		name, err := h.authenticate(r)
		if err == nil {
			err = a(w, r, name)
		}
		if err != nil {
			fail(w, err)
		}
	})
}
