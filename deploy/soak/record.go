package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was injected and seen in one run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	// promised are the attempts whose answer said that they haven't run.
	promised []string
	answers  map[string]map[int]int
	broken   []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, answers: map[string]map[int]int{}}, nil
}

// note writes what was injected.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// broke notes a promise that was broken.
func (r *record) broke(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// saw counts an answer; status 0 stands for none.
func (r *record) saw(kind string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answers[kind] == nil {
		r.answers[kind] = map[int]int{}
	}
	r.answers[kind][status]++
}

// promise notes an answer that says that the attempt hasn't run.
func (r *record) promise(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.promised = append(r.promised, id)
}

// served returns how many requests were answered with success.
func (r *record) served() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, by := range r.answers {
		n += by[200]
	}
	return n
}
