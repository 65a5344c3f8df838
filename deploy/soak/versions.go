package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Terms of the guarantee to streams that callers resume at entries in touch, while two servers of their software
// serve: of minResumes or more, the share that continues is at least half of the share of new streams that begin.
const (
	minResumes      = 12
	minResumedShare = 0.5
	resumeContact   = 3 * time.Second
)

const (
	// resumersPerEntry is how many callers leave their streams and resume them.
	resumersPerEntry = 2
	// unnamedInterval is the number of streams of which one is resumed without the attempt that began it.
	unnamedInterval = 4
	// resumeAttempts is how often a caller resumes one stream at most.
	resumeAttempts = 3
	// resumeDuration is how long resumes are checked without other faults than those of this file.
	resumeDuration = 8 * time.Second
	// minDowntime and maxDowntime bound how long a server is down that restarts with other software.
	minDowntime = 500 * time.Millisecond
	maxDowntime = 1500 * time.Millisecond
)

// softwareVersions are the versions that serve side by side.
var softwareVersions = []string{"v1", "v2"}

// versions checks that no stream holds events of two versions, and counts the streams that begin and go on.
type versions struct {
	record *record
	mu     sync.Mutex
	// counting is set while attempts count. began and resumed are those that the terms apply to, beganOK and
	// resumedOK those of them that were served.
	counting                           bool
	began, beganOK, resumed, resumedOK int
}

// count counts an attempt to begin or resume a stream.
func (v *versions) count(resumed, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	all, served := &v.began, &v.beganOK
	if resumed {
		all, served = &v.resumed, &v.resumedOK
	}
	if v.counting {
		*all++
		if ok {
			*served++
		}
	}
}

// checkResumes checks the terms of the guarantee for the attempts that were counted.
func (v *versions) checkResumes() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.counting = false
	v.record.note("%d of %d streams began, %d of %d continued", v.beganOK, v.began, v.resumedOK, v.resumed)
	if v.resumed < minResumes || v.began == 0 {
		return
	}
	if float64(v.resumedOK)/float64(v.resumed) < minResumedShare*float64(v.beganOK)/float64(v.began) {
		v.record.reportViolation("%d of %d resumed streams continued, %d of %d new ones began", v.resumedOK, v.resumed, v.beganOK, v.began)
	}
}

// resumedStream is a stream over all attempts of its caller.
type resumedStream struct {
	name, kind string
	// first is the attempt that brought the first event, software the version that wrote it.
	first, software string
	// unnamed is set if the caller doesn't name the first attempt.
	unnamed bool
	events  int
}

// resumeStreams sends streams, leaves or loses them, and resumes them at any entry until ctx ends.
func (s *site) resumeStreams(ctx context.Context, name string, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		x := &resumedStream{kind: []string{"stream", "prompt"}[r.IntN(2)], name: fmt.Sprintf("%s-%d", name, n), unnamed: n%unnamedInterval == 0}
		for attempt := 0; attempt <= resumeAttempts && x.events < streamEvents && ctx.Err() == nil; attempt++ {
			s.resume(ctx, x, attempt, r)
		}
		sleep(ctx, time.Duration(r.IntN(30))*time.Millisecond)
	}
}

// resume sends one attempt of a stream to a random entry, and leaves it at a random event.
func (s *site) resume(ctx context.Context, x *resumedStream, attempt int, r *rand.Rand) {
	entry, until := r.IntN(len(s.entries)), x.events+1+r.IntN(streamEvents)
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	id := fmt.Sprintf("%s-%d", x.name, attempt)
	// Another body each, as requests that break off at several servers are quarantined.
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.fronts[entry].address()+"/"+x.kind+"/"+x.name, io.NopCloser(strings.NewReader(x.name)))
	if err != nil {
		s.record.reportViolation("request: %v", err)
		return
	}
	q.Host, q.Close, q.ContentLength = "soak", true, int64(len(x.name))
	for header, value := range map[string]string{"Attempt-Id": id, "X-Api-Key": "k1", "Deadline-Ms": "4000"} {
		q.Header.Set(header, value)
	}
	if x.kind == "prompt" {
		q.Header.Set("Model", model)
		q.Header.Set("Token-Counts", "120,12")
		q.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:80,%x:40", r.IntN(20), r.IntN(1<<30)))
	}
	resumes := x.events > 0
	if resumes {
		q.Header.Set("Last-Event-Id", fmt.Sprint(x.events))
		if !x.unnamed {
			q.Header.Set("Resumes", x.first)
		}
	}
	counts := !x.unnamed && s.inTouchSince(s.entries[entry], time.Now().Add(-resumeContact)) && (!resumes || s.serversOf(x) >= 2)
	before, status := x.events, 0
	a, err := (&http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}).Do(q)
	if err == nil {
		status = a.StatusCode
		if status == http.StatusOK {
			s.readEvents(x, id, bufio.NewScanner(a.Body), until)
		}
		_ = a.Body.Close()
	}
	if status == http.StatusServiceUnavailable {
		s.record.addNotRun(id)
	}
	if counts && s.inTouchSince(s.entries[entry], time.Now().Add(-resumeContact)) {
		s.versions.count(resumes, x.events > before)
		if x.events == before {
			s.record.note("%s (%s) after event %d of software %s: status %d, %v", id, x.kind, before, x.software, status, err)
		}
	}
}

// readEvents reads and checks events until the stream has that many.
func (s *site) readEvents(x *resumedStream, attempt string, lines *bufio.Scanner, until int) {
	for x.events < min(until, streamEvents) && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		id, software, _ := strings.Cut(data, " ")
		x.events++
		if x.software == "" {
			x.first, x.software = attempt, software
		}
		if id != attempt || software != x.software {
			s.record.reportViolation("%s began at software %s, and event %d is of %q", x.name, x.software, x.events, data)
			x.software = software
		}
	}
}

// serversOf counts the servers of the stream's service and software.
func (s *site) serversOf(x *resumedStream) int {
	service := plainService
	if x.kind == "prompt" {
		service = engineService
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, y := range s.servers {
		if y.service == service && y.isReady(x.software) {
			n++
		}
	}
	return n
}

// isReady returns whether the server serves and has that software.
func (s *server) isReady(software string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.software == software && s.state == "ready" && !s.leaves && !s.dead && !s.proxy.isDown()
}

// changeSoftware restarts the server with other software under its ID and address. It announces itself as it starts.
func (s *server) changeSoftware(ctx context.Context, software string, downtime time.Duration) {
	s.proxy.setDown(true)
	sleep(ctx, downtime)
	s.mu.Lock()
	s.software = software
	s.startedAt, s.sequence = time.Now().UnixMilli(), 0
	s.mu.Unlock()
	for _, control := range s.controls {
		go s.announceOnce(ctx, control)
	}
	s.proxy.setDown(false)
}

// otherSoftware returns another version than the server's, at times one that none has had.
func (s *server) otherSoftware(r *rand.Rand, n int) string {
	if r.IntN(4) == 0 {
		return fmt.Sprint("new-", n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.software == softwareVersions[0] {
		return softwareVersions[1]
	}
	return softwareVersions[0]
}

// changeVersions restarts servers with other software at random times until end. It uses a separate random source, so
// that it does not change the faults of a seed.
func changeVersions(ctx context.Context, end time.Time, s *site) {
	r := rand.New(rand.NewPCG(s.seed, 67))
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(r.Int64N(int64(4*time.Second))))
		if !time.Now().Before(end) {
			return
		}
		x := s.drawServers(r)[0]
		s.record.note("%s restarts with other software", x.id)
		x.changeSoftware(ctx, x.otherSoftware(r, n), minDowntime+time.Duration(r.Int64N(int64(maxDowntime-minDowntime))))
	}
}

// checkVersions has callers resume streams while entries are killed and connections to servers are reset, without
// other faults, and with two more servers of each version.
func (s *site) checkVersions(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.seed, 71))
	for range len(softwareVersions) {
		for _, service := range []string{plainService, engineService} {
			if err := s.addServer(service); err != nil {
				s.record.reportViolation("start a server: %v", err)
			}
		}
	}
	sleep(ctx, resumeContact)
	s.versions.mu.Lock()
	s.versions.counting = true
	s.versions.mu.Unlock()
	for end := time.Now().Add(resumeDuration); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(r.Int64N(int64(1500*time.Millisecond))))
		if r.IntN(2) == 0 {
			s.record.note("reset connections to a server")
			s.drawServers(r)[0].proxy.reset()
			continue
		}
		e := s.entries[r.IntN(len(s.entries))]
		s.record.note("kill %s", e.name)
		s.stopAndRestart(ctx, e, syscall.SIGKILL, false)
	}
	s.versions.checkResumes()
}
