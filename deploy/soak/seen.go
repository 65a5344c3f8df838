package main

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// brokenMark begins the text of a violation in a record.
const brokenMark = "BROKEN "

// checkServed checks that callers get whole answers of each kind again after the last kill.
func (p *parts) checkServed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryBound)
	defer cancel()
	before, missing := p.wholes(), []string{"some"}
	for len(missing) > 0 && ctx.Err() == nil {
		sleep(ctx, 200*time.Millisecond)
		missing = nil
		now := p.wholes()
		for _, kind := range slices.Compact(slices.Sorted(slices.Values(followedKinds))) {
			if now[kind] == before[kind] {
				missing = append(missing, kind)
			}
		}
	}
	if len(missing) > 0 && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.site.record.reportViolation("callers of %s aren't served as whole after the last kill", strings.Join(missing, ", "))
	}
}

// wholes counts the answers of each kind that callers got as whole.
func (p *parts) wholes() map[string]int {
	n := map[string]int{}
	for _, x := range p.callers {
		for line := range strings.Lines(p.log(x)) {
			if f := strings.Fields(line); len(f) > 3 && f[1] == "whole" {
				n[f[3]]++
			}
		}
	}
	return n
}

// checkRest ends all callers, kills one of long streams, and checks that all servers are at rest soon after.
func (p *parts) checkRest(ctx context.Context) {
	var stopped sync.WaitGroup
	for _, x := range p.callers {
		stopped.Go(func() { x.stop(syscall.SIGTERM, stopBound) })
	}
	stopped.Wait()
	x := p.callers[0]
	p.check(x, p.startCaller(x, true))
	sleep(ctx, longTime)
	ran := p.running(ctx)
	x.stop(syscall.SIGKILL, stopBound)
	killed := time.Now()
	left := p.running(ctx)
	for left != 0 && time.Since(killed) < restBound && ctx.Err() == nil {
		sleep(ctx, 50*time.Millisecond)
		left = p.running(ctx)
	}
	p.site.record.note("%d long streams ran, %d run %s after their caller was killed", ran, left, time.Since(killed))
	if left != 0 && ctx.Err() == nil {
		p.site.record.reportViolation("%d of %d long streams still run %s after their caller was killed", left, ran, restBound)
	}
}

// running returns how many requests the servers run.
func (p *parts) running(ctx context.Context) int {
	all := 0
	for _, x := range p.backends {
		n, err := x.running(ctx)
		if err != nil && ctx.Err() == nil {
			p.site.record.reportViolation("%s doesn't say what it runs: %v", x.name, err)
		}
		all += n
	}
	return all
}

// running returns how many requests a server runs.
func (x *part) running(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+x.address+runningPath, nil)
	if err != nil {
		return 0, err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(string(b))
}

// readLogs reports what callers and servers saw.
func (p *parts) readLogs() {
	for _, x := range p.all() {
		for line := range strings.Lines(p.log(x)) {
			if _, text, ok := strings.Cut(line, brokenMark); ok {
				p.site.record.reportViolation("%s: %s", x.name, strings.TrimSpace(text))
			}
		}
	}
	n := p.wholes()
	for _, kind := range slices.Sorted(maps.Keys(n)) {
		p.site.record.note("callers got %d of %s as whole", n[kind], kind)
	}
}

// log returns what a part has written so far.
func (p *parts) log(x *part) string {
	b, err := os.ReadFile(x.process.log)
	if err != nil {
		p.site.record.reportViolation("log of %s: %v", x.name, err)
	}
	return string(b)
}
