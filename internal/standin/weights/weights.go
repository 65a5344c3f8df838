package weights

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"hornbeamwood/internal/standin/backend"
)

// Config holds the load times and the weights of a Store.
type Config struct {
	// LoadTime is the duration of a load while at most FullSpeedLoads run.
	LoadTime time.Duration
	// FullSpeedLoads is the number of concurrent loads above which all of them slow down.
	FullSpeedLoads int
	// Versions maps "model/version" to the size of the weights in bytes.
	Versions map[string]int
}

// Store serves weights and counts concurrent loads.
type Store interface {
	http.Handler
	// MaxConcurrent returns the largest number of loads that ran at the same time.
	MaxConcurrent() int
}

type store struct {
	config Config
	mux    *http.ServeMux

	mu         sync.Mutex
	running    int
	maxRunning int
}

// chunks is the number of chunks in which weights are sent.
const chunks = 20

// New returns a Store.
func New(c Config) Store {
	s := &store{config: c, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /weights/{model}/{version}", s.get)
	s.mux.HandleFunc("GET /standin/most-at-once", s.serveMaxConcurrent)
	return s
}

// ServeHTTP implements Store.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mux.ServeHTTP(w, q)
}

// MaxConcurrent implements Store.
func (s *store) MaxConcurrent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxRunning
}

func (s *store) serveMaxConcurrent(w http.ResponseWriter, _ *http.Request) {
	backend.WriteJSON(w, http.StatusOK, s.MaxConcurrent())
}

func (s *store) get(w http.ResponseWriter, q *http.Request) {
	size, ok := s.config.Versions[q.PathValue("model")+"/"+q.PathValue("version")]
	if !ok {
		backend.WriteError(w, http.StatusNotFound, true, "unknown-version", "the weight version is unknown")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if q.Method == http.MethodHead {
		return
	}
	s.beginLoad()
	defer s.endLoad()
	for i := range chunks {
		from, to := size*i/chunks, size*(i+1)/chunks
		if _, err := w.Write(make([]byte, to-from)); err != nil {
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(s.chunkTime()):
		}
	}
}

func (s *store) beginLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
}

func (s *store) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// chunkTime returns the duration of one chunk at the current number of loads.
func (s *store) chunkTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowdown := max(1, s.running-s.config.FullSpeedLoads+1)
	return s.config.LoadTime * time.Duration(slowdown) / chunks
}
