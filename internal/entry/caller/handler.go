package caller

import (
	"context"
	"net/http"
	"strings"

	"hornbeamwood/internal/base/verdict"
)

// Headers of requests and answers.
const (
	HeaderRequest    = "Hornbeamwood-Request"
	HeaderKey        = "Idempotency-Key"
	headerRetryAfter = "Retry-After"
)

const servicesPrefix = "/services/"

// Handler serves callers.
type Handler interface {
	http.Handler
	// Drain refuses new requests and waits until the running ones have ended; it returns an error when ctx ends first.
	Drain(ctx context.Context) error
	// InFlight returns the number of running requests.
	InFlight() int
	// InFlightOf returns the number of a workspace's running requests.
	InFlightOf(workspace string) int
}

type handler struct {
	Config
	mux     *http.ServeMux
	gate    *drainGate
	running *running
	keys    keyIndexCache
}

// New returns a Handler; missing values of c get their defaults.
func New(c Config) Handler {
	h := &handler{Config: c.withDefaults(), mux: http.NewServeMux(), gate: newDrainGate(), running: &running{}}
	h.mux.HandleFunc("POST /v1/chat/completions", h.authorized(h.completions(chatProtocol)))
	h.mux.HandleFunc("POST /v1/completions", h.authorized(h.completions(textProtocol)))
	h.mux.HandleFunc("GET /v1/models", h.authorized(h.models))
	h.mux.HandleFunc("GET /v1/models/{model}", h.authorized(h.model))
	h.mux.HandleFunc(servicesPrefix+"{service}/{rest...}", h.authorized(h.service))
	h.mux.HandleFunc("/", h.unknownPath)
	return h
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{handler: h, writer: w, request: r, id: h.NewID()}
	w.Header().Set(HeaderRequest, x.id)
	defer x.release()
	if !h.gate.enter() {
		w.Header().Set("Connection", "close")
		x.refuse(x.earlyRefusal(stopping()))
		return
	}
	defer h.gate.leave()
	h.mux.ServeHTTP(w, r.WithContext(withExchange(r.Context(), x)))
}

// Drain implements Handler.
func (h *handler) Drain(ctx context.Context) error {
	return h.gate.close(ctx)
}

// InFlight implements Handler.
func (h *handler) InFlight() int {
	return h.gate.running()
}

// InFlightOf implements Handler.
func (h *handler) InFlightOf(workspace string) int {
	return h.running.of(workspace)
}

func (h *handler) unknownPath(_ http.ResponseWriter, r *http.Request) {
	x := exchangeOf(r.Context())
	for _, p := range []string{"/v1/chat/completions", "/v1/completions", "/v1/models"} {
		if r.URL.Path == p {
			x.refuse(verdict.New(verdict.NotRun, http.StatusMethodNotAllowed, "method-not-allowed", "the path doesn't take this method"))
			return
		}
	}
	x.refuse(verdict.New(verdict.NotRun, http.StatusNotFound, "unknown-path", "there is nothing under this path"))
}

// isKeyed reports whether r is a service call with an Idempotency-Key, and so possibly a resend of a call that has run.
func isKeyed(r *http.Request) bool {
	return r.Header.Get(HeaderKey) != "" && strings.HasPrefix(r.URL.Path, servicesPrefix)
}
