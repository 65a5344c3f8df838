package service

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	"hornbeamwood/internal/base/verdict"
)

// faultyService runs calls and injects random faults.
type faultyService struct {
	mu        sync.Mutex
	random    *rand.Rand
	faultsOff bool
	name      string
	bodies    map[string][]string
	answer    map[string]string
}

func (s *faultyService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// An entry of another test may dial a port that now belongs to this server.
	if !strings.HasPrefix(r.Header.Get(headerWorkspace), s.name) {
		panic(http.ErrAbortHandler)
	}
	fault := s.draw(8)
	if fault == 0 {
		panic(http.ErrAbortHandler)
	}
	if fault == 1 {
		w.Header().Set(verdict.Header, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	text := s.run(r.Header.Get(headerWorkspace)+"/"+r.Header.Get(headerKey), string(b))
	if fault == 2 {
		panic(http.ErrAbortHandler)
	}
	if fault == 3 {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)+5))
	}
	_, _ = io.WriteString(w, text)
}

func (s *faultyService) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultsOff {
		return n
	}
	return s.random.IntN(n)
}

func (s *faultyService) run(key, body string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies[key] = append(s.bodies[key], body)
	s.answer[key] = fmt.Sprintf("certificate %s of %s", key, body)
	return s.answer[key]
}

// runs returns the bodies of all runs of the key's call, and the last answer.
func (s *faultyService) runs(key string) ([]string, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.bodies[key]...), s.answer[key]
}

// faultyPicker picks the service or an address without a listener.
type faultyPicker struct {
	service *faultyService
	good    string
	dead    string
}

func (p *faultyPicker) Pick(_ context.Context, _ Request, excluded []string) (Server, error) {
	if len(excluded) > 1 {
		return Server{}, verdict.New(verdict.NotRun, 503, "no-server", "no server")
	}
	if p.service.draw(5) == 0 {
		return Server{Identity: "dead", Address: p.dead}, nil
	}
	return Server{Identity: "good", Address: p.good}, nil
}
