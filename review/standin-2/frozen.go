package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	frozenEntries, frozenRequests = 9, 24
	// stillBefore is when after the requests the entry is frozen, killedAfter how long after that the server crashes, and
	// wakesAfter how long after the crash the entry wakes.
	stillBefore, killedAfter, wakesAfter = time.Second, 200 * time.Millisecond, 2060 * time.Millisecond
)

// frozenEntry checks that no answer passes for whole whose server crashed before its end, if the entry stood still meanwhile.
func frozenEntry(p *place, trouble bool) (int, error) {
	servers, err := p.startPlain(frozenEntries, false)
	defer func() {
		for _, s := range servers {
			s.crash()
		}
	}()
	if err != nil {
		return 0, err
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	broken, whole := 0, 0
	for i := range frozenRequests {
		all.Go(func() {
			attempt := fmt.Sprint("a", i)
			status, stamp, body, err := p.stamp(0, attempt)
			p.note("%s: status %d, stamp %q, %d of %d bytes, err %v", attempt, status, stamp, len(body), len(wholeBody(attempt)), err)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK && err == nil {
				if bytes.Equal(body, wholeBody(attempt)) {
					whole++
				} else {
					broken++
				}
			}
		})
	}
	time.Sleep(stillBefore)
	e, s := p.entries[0], servers[0]
	if trouble {
		e.signal(syscall.SIGSTOP)
		p.note("%s freezes", e.name)
	}
	time.Sleep(killedAfter)
	s.crash()
	crashed := time.Now()
	p.note("%s crashes", s.id)
	time.Sleep(crashLength)
	if err := s.boot(); err != nil {
		return 0, err
	}
	p.note("%s is back", s.id)
	time.Sleep(time.Until(crashed.Add(wakesAfter)))
	if trouble {
		e.signal(syscall.SIGCONT)
		p.note("%s wakes", e.name)
	}
	all.Wait()
	p.note("%d answers whole, %d not whole but taken for that", whole, broken)
	if whole == 0 {
		return 0, fmt.Errorf("%w: no request was served", errNotRun)
	}
	return broken, nil
}
