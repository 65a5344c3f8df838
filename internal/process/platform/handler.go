package platform

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Config configures a Handler.
type Config struct {
	// Ready returns nil while the process accepts new work, and otherwise why it doesn't.
	Ready func() error
	// Metrics are the process's own metrics.
	Metrics *metrics.Set
}

// Handler serves /healthz, /readyz and /metrics.
type Handler interface {
	http.Handler
	// Register adds the three paths to mux.
	Register(mux *http.ServeMux)
}

type handler struct {
	config Config
	mux    *http.ServeMux
}

// New returns a Handler for c.
func New(c Config) Handler {
	h := &handler{config: c, mux: http.NewServeMux()}
	h.Register(h.mux)
	return h
}

// ServeHTTP implements Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h.mux.ServeHTTP(w, q)
}

// Register implements Handler.
func (h *handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", h.health)
	mux.HandleFunc("GET /readyz", h.ready)
	mux.HandleFunc("GET /metrics", h.metrics)
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.config.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (h *handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	h.config.Metrics.WritePrometheus(w)
	metrics.WritePrometheus(w, false)
	metrics.WriteProcessMetrics(w)
}
