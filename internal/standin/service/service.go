package service

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"hornbeamwood/internal/standin/backend"
)

// maxBody bounds one call.
const maxBody = 1 << 20

// Config is how the service behaves.
type Config struct {
	// Name is the service's identity, shown in its answers.
	Name string
	// Delay is how long a call takes.
	Delay time.Duration
}

// Service answers calls and counts executions.
type Service interface {
	http.Handler
	// Executions returns how often each idempotency key ran.
	Executions() map[string]int
	// Running returns the number of calls that run.
	Running() int
}

type service struct {
	config Config
	mux    *http.ServeMux

	mu         sync.Mutex
	executions map[string]int
	running    int
	issued     int
}

// answer is what a call returns.
type answer struct {
	Server string `json:"server"`
	Number int    `json:"number,omitempty"`
	Path   string `json:"path"`
	Bytes  int    `json:"bytes"`
}

// New returns a Service without executions.
func New(c Config) Service {
	s := &service{config: c, mux: http.NewServeMux(), executions: make(map[string]int)}
	s.mux.HandleFunc("GET /standin/executions", s.report)
	s.mux.HandleFunc("GET /", s.read)
	s.mux.HandleFunc("POST /", s.execute)
	return s
}

// ServeHTTP implements Service.
func (s *service) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mux.ServeHTTP(w, q)
}

// Executions implements Service.
func (s *service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// Running implements Service.
func (s *service) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *service) report(w http.ResponseWriter, _ *http.Request) {
	backend.Answer(w, http.StatusOK, s.Executions())
}

func (s *service) read(w http.ResponseWriter, q *http.Request) {
	time.Sleep(s.config.Delay)
	backend.Answer(w, http.StatusOK, answer{Server: s.config.Name, Path: q.URL.Path})
}

func (s *service) execute(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(io.LimitReader(q.Body, maxBody))
	if err != nil {
		backend.Refuse(w, http.StatusBadRequest, true, "cut", "the body ended early")
		return
	}
	number := s.begin(q)
	defer s.end()
	time.Sleep(s.config.Delay)
	w.Header().Set("Location", fmt.Sprintf("%s/%d", q.URL.Path, number))
	backend.Answer(w, http.StatusCreated, answer{Server: s.config.Name, Number: number, Path: q.URL.Path, Bytes: len(b)})
}

// begin counts the execution before anything else happens: a caller that is cut off later must still find it counted.
func (s *service) begin(q *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.issued++
	key := q.Header.Get("Hornbeamwood-Workspace") + "/" + q.Header.Get("Idempotency-Key")
	s.executions[key]++
	return s.issued
}

func (s *service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
