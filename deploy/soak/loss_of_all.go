package main

import (
	"context"
	"sync"
	"syscall"
)

// loseAll kills all processes right after a document was acknowledged, starts them again, one replica with an empty
// disk, and checks that callers are served and that every replica has the document.
func (s *site) loseAll(ctx context.Context) {
	sleep(ctx, catchUpTime)
	if !s.operator.putDocument(ctx, s.newRandom()) {
		return
	}
	lost := s.replica()
	s.record.note("all processes are lost, and the disk of %s", lost.name)
	all := append(append([]*process{}, s.replicas...), s.entries...)
	var stopped sync.WaitGroup
	for _, p := range all {
		p.faultLock.Lock()
		defer p.faultLock.Unlock()
		stopped.Go(func() { p.stop(syscall.SIGKILL, stopBound) })
	}
	stopped.Wait()
	s.loseDisk(lost)
	s.replaceServer(true)
	sleep(ctx, s.randomDuration(catchUpTime/2))
	for _, p := range all {
		if err := s.restart(p); err != nil {
			s.record.reportViolation("start %s: %v", p.name, err)
		}
	}
	s.checkRecovery(ctx)
}
