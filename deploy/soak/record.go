package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// record collects the injected faults, the answers and the violations of one run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	// notRun holds the attempts whose answer said that they haven't run.
	notRun     []string
	answers    map[string]map[int]int
	violations []string
	// falls are the violations of the guarantee to brittle servers.
	falls []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, answers: map[string]map[int]int{}}, nil
}

// note writes a line with the time since the start to the file.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// reportViolation records the violation of a guarantee.
func (r *record) reportViolation(format string, args ...any) {
	r.report(&r.violations, fmt.Sprintf(format, args...))
}

// reportFalls records a violation of the guarantee to brittle servers.
func (r *record) reportFalls(format string, args ...any) {
	r.report(&r.falls, fmt.Sprintf(format, args...))
}

func (r *record) report(list *[]string, text string) {
	r.note(brokenMark+"%s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, text)
}

// countAnswer counts an answer; status 0 means none.
func (r *record) countAnswer(kind string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answers[kind] == nil {
		r.answers[kind] = map[int]int{}
	}
	r.answers[kind][status]++
}

// addNotRun records an answer that says that the attempt hasn't run.
func (r *record) addNotRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notRun = append(r.notRun, id)
}

// tally returns how many requests of the clients were served, and how many got any answer.
func (r *record) tally() (served, read int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, kind := range slices.Compact(slices.Sorted(slices.Values(requestKinds))) {
		for status, n := range r.answers[kind] {
			switch status {
			case 0:
			case http.StatusOK:
				served += n
				read += n
			default:
				read += n
			}
		}
	}
	return served, read
}

// served returns how many requests were answered with status 200.
func (r *record) served() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, statuses := range r.answers {
		n += statuses[200]
	}
	return n
}
