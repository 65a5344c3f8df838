package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	file     *os.File
	begun    time.Time
	breaches int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begun: time.Now()}, nil
}

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// breach writes a line on a broken rule and counts it.
func (r *record) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches++
	r.write("BROKEN "+format, args...)
}

func (r *record) write(format string, args ...any) {
	// The record is for readers; without it the exit code still tells the result.
	_, _ = fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaches
}
