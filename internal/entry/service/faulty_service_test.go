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

// wildService runs calls and breaks connections as the random source says.
type wildService struct {
	mu     sync.Mutex
	random *rand.Rand
	calm   bool
	name   string
	bodies map[string][]string
	answer map[string]string
}

func (s *wildService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Another test's entry can dial a port that is this server's now.
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

func (s *wildService) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calm {
		return n
	}
	return s.random.IntN(n)
}

func (s *wildService) run(key, body string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies[key] = append(s.bodies[key], body)
	s.answer[key] = fmt.Sprintf("certificate %s of %s", key, body)
	return s.answer[key]
}

// runs returns the bodies with which the key's call ran, and the answer.
func (s *wildService) runs(key string) ([]string, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.bodies[key]...), s.answer[key]
}

// wildPicker picks the service or an address where nobody listens.
type wildPicker struct {
	service *wildService
	good    string
	dead    string
}

func (p *wildPicker) Pick(_ context.Context, _ Request, excluded []string) (Server, error) {
	if len(excluded) > 1 {
		return Server{}, verdict.New(verdict.NotRun, 503, "no-server", "no server")
	}
	if p.service.draw(5) == 0 {
		return Server{Identity: "dead", Address: p.dead}, nil
	}
	return Server{Identity: "good", Address: p.good}, nil
}
