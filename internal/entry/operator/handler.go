package operator

import (
	"net/http"
)

// Routes are the patterns under which the handler is registered in the entry's mux.
var Routes = []string{
	"/settings", "/settings/",
	"/settings-explain", "/settings-explain/",
	"/settings-history", "/settings-diff",
}

// handler serves operator requests.
type handler struct {
	Config
}

// operatorHandler handles one request of an authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, operator string) error

// New returns the handler for all Routes and Config.Actions.
func New(c Config) http.Handler {
	h := &handler{Config: c.withDefaults()}
	mux := http.NewServeMux()
	for _, route := range []string{"/settings", "/settings/{path...}"} {
		mux.Handle("GET "+route, h.requireOperator(h.showBranch))
		mux.Handle("PUT "+route, h.requireOperator(h.put))
		mux.Handle("PATCH "+route, h.requireOperator(h.patch))
		mux.Handle("DELETE "+route, h.requireOperator(h.remove))
	}
	for _, route := range []string{"/settings-explain", "/settings-explain/{path...}"} {
		mux.Handle("GET "+route, h.requireOperator(h.explain))
	}
	mux.Handle("GET /settings-history", h.requireOperator(h.history))
	mux.Handle("GET /settings-diff", h.requireOperator(h.diff))
	for _, a := range c.Actions {
		mux.Handle(a.Pattern, h.requireOperator(a.Run))
	}
	return mux
}

// requireOperator calls a only for authenticated operators.
//
// A partitioned entry may still hold the key of an operator who was removed. The
// lease is checked first, so that such an entry refuses all operators.
func (h *handler) requireOperator(a operatorHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := h.Lease.Check(); err != nil {
			writeFailure(w, err)
			return
		}
		name, err := h.authenticate(r)
		if err == nil {
			err = a(w, r, name)
		}
		if err != nil {
			writeFailure(w, err)
		}
	})
}
