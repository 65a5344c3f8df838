package weights

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"hornbeamwood/internal/standin/backend"
)

// Config is how fast weights are served.
type Config struct {
	// LoadTime is how long one load takes while at most FullSpeedLoads run.
	LoadTime time.Duration
	// FullSpeedLoads is the number of loads at once above which all of them slow down.
	FullSpeedLoads int
	// Versions maps "model/version" to its size in bytes.
	Versions map[string]int
}

// Store serves weights.
type Store interface {
	http.Handler
	// MostAtOnce returns the largest number of loads that ran at one moment.
	MostAtOnce() int
}

type store struct {
	config Config
	mux    *http.ServeMux

	mu      sync.Mutex
	running int
	most    int
}

const chunks = 20

// New returns a Store.
func New(c Config) Store {
	s := &store{config: c, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /weights/{model}/{version}", s.get)
	s.mux.HandleFunc("GET /standin/most-at-once", s.report)
	return s
}

// ServeHTTP implements Store.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mux.ServeHTTP(w, q)
}

// MostAtOnce implements Store.
func (s *store) MostAtOnce() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

func (s *store) report(w http.ResponseWriter, _ *http.Request) {
	backend.Answer(w, http.StatusOK, s.MostAtOnce())
}

func (s *store) get(w http.ResponseWriter, q *http.Request) {
	size, ok := s.config.Versions[q.PathValue("model")+"/"+q.PathValue("version")]
	if !ok {
		backend.Refuse(w, http.StatusNotFound, true, "unknown-version", "no such weights")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if q.Method == http.MethodHead {
		return
	}
	s.enter()
	defer s.leave()
	for i := range chunks {
		from, to := size*i/chunks, size*(i+1)/chunks
		if _, err := w.Write(make([]byte, to-from)); err != nil {
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(s.pause()):
		}
	}
}

func (s *store) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.most = max(s.most, s.running)
}

func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// pause returns the time of one chunk at the present number of loads.
func (s *store) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	slow := max(1, s.running-s.config.FullSpeedLoads+1)
	return s.config.LoadTime * time.Duration(slow) / chunks
}
