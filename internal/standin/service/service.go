package service

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"hornbeamwood/internal/standin/backend"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 1 << 20

// Config holds the parameters of a Service.
type Config struct {
	// Name is the service's identity, which its responses contain.
	Name string
	// Delay is how long a call takes.
	Delay time.Duration
	// Crash is called when a call whose body holds CrashMarker runs; nil ignores the marker.
	Crash func()
}

// CrashMarker in the body of a call crashes the service that runs it.
const CrashMarker = "CRASH-THE-SERVER"

// Service serves calls and counts executions.
type Service interface {
	http.Handler
	// Executions returns how often each idempotency key ran.
	Executions() map[string]int
	// Running returns the number of running calls.
	Running() int
}

type service struct {
	config Config
	mux    *http.ServeMux

	mu         sync.Mutex
	executions map[string]int
	running    int
	lastNumber int
}

// response is the body of a response.
type response struct {
	Server string `json:"server"`
	Number int    `json:"number,omitempty"`
	Path   string `json:"path"`
	Bytes  int    `json:"bytes"`
}

// New returns a Service without any executions.
func New(c Config) Service {
	s := &service{config: c, mux: http.NewServeMux(), executions: make(map[string]int)}
	s.mux.HandleFunc("GET /standin/executions", s.serveExecutions)
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

func (s *service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	backend.WriteJSON(w, http.StatusOK, s.Executions())
}

func (s *service) read(w http.ResponseWriter, q *http.Request) {
	time.Sleep(s.config.Delay)
	backend.WriteJSON(w, http.StatusOK, response{Server: s.config.Name, Path: q.URL.Path})
}

func (s *service) execute(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(io.LimitReader(q.Body, maxBodyBytes))
	if err != nil {
		backend.WriteError(w, http.StatusBadRequest, true, "cut", "the body is truncated")
		return
	}
	number := s.begin(q)
	defer s.end()
	if s.config.Crash != nil && bytes.Contains(b, []byte(CrashMarker)) {
		s.config.Crash()
	}
	time.Sleep(s.config.Delay)
	w.Header().Set("Location", fmt.Sprintf("%s/%d", q.URL.Path, number))
	backend.WriteJSON(w, http.StatusCreated, response{Server: s.config.Name, Number: number, Path: q.URL.Path, Bytes: len(b)})
}

// begin counts the execution before anything else happens, so that it is counted even if the caller disconnects later.
func (s *service) begin(q *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.lastNumber++
	key := q.Header.Get("Hornbeamwood-Workspace") + "/" + q.Header.Get("Idempotency-Key")
	s.executions[key]++
	return s.lastNumber
}

func (s *service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
