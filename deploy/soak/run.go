package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// runConfig holds the parameters of one run.
type runConfig struct {
	seed    uint64
	length  time.Duration
	program string
	folder  string
	// replicas and entries are the numbers of processes of each role.
	replicas int
	entries  int
	// killsOnly is set if the run consists of killed processes only.
	killsOnly bool
	// quickRestarts is set if killed servers may be back under their IDs at once.
	quickRestarts bool
	// damagesDisks is set if replicas that lose their disks get them back damaged.
	damagesDisks bool
}

// result is the result of one run.
type result struct {
	seed       uint64
	faults     int
	served     int
	violations []string
	// falls are the violations of the guarantee to brittle servers.
	falls  []string
	folder string
}

// String returns the result as a line, followed by the first violation if there is one.
func (r result) String() string {
	all := r.broken()
	if len(all) == 0 {
		return fmt.Sprintf("seed %d: held, %d faults, %d served", r.seed, r.faults, r.served)
	}
	return fmt.Sprintf("seed %d: BROKEN %d times, %d faults, %d served, logs in %s\n    %s", r.seed, len(all), r.faults, r.served, r.folder, all[0])
}

// broken returns all violations.
func (r result) broken() []string {
	return slices.Concat(r.violations, r.falls)
}

// recoveryBound is how long after the last fault callers must be served and the newest document must be readable again.
const recoveryBound = 12 * time.Second

// run starts a site, runs one seed and closes the site.
func run(ctx context.Context, c runConfig) result {
	folder := filepath.Join(c.folder, fmt.Sprint("seed-", c.seed))
	res := result{seed: c.seed, folder: folder}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		res.violations = []string{err.Error()}
		return res
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		res.violations = []string{err.Error()}
		return res
	}
	defer r.file.Close()
	s, err := newSite(c, folder, r)
	defer s.close()
	if err != nil {
		res.violations = []string{err.Error()}
		return res
	}
	exercise(ctx, c, s, &res)
	r.mu.Lock()
	defer r.mu.Unlock()
	res.violations, res.falls = r.violations, r.falls
	return res
}

// exercise starts the clients, injects faults, and checks the recovery after the last fault.
func exercise(ctx context.Context, c runConfig, s *site, res *result) {
	if !s.operator.putDocument(ctx, s.newRandom()) {
		return
	}
	if c.killsOnly {
		res.faults, res.served = s.killParts(ctx, c.length)
		return
	}
	running, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	for i := range clientsPerSite {
		x := s.newClient(fmt.Sprintf("%d-%d", c.seed, i), i%len(s.fronts), c.seed*100+uint64(i))
		x.balancer, x.number = &s.balancer, i
		all.Go(func() { x.run(running) })
	}
	for i := range resumersPerEntry * len(s.fronts) {
		all.Go(func() {
			s.resumeStreams(running, fmt.Sprintf("%d-r%d", c.seed, i), rand.New(rand.NewPCG(c.seed, 73+uint64(i))))
		})
	}
	all.Go(func() { s.operator.pollDocuments(running) })
	sleep(ctx, time.Second)
	res.faults = injectFaults(ctx, c.length, s)
	s.checkRecovery(ctx)
	s.checkCrashes(ctx)
	s.checkSurge(ctx, rand.New(rand.NewPCG(c.seed, 97)))
	s.planWork(ctx)
	s.checkVersions(ctx)
	s.loadBrittle(ctx, rand.New(rand.NewPCG(c.seed, 53)))
	s.cutSome(ctx, rand.New(rand.NewPCG(c.seed, 59)), cutMode(c.seed%uint64(cutModes)))
	s.loseAll(ctx)
	s.checkOddMessages(ctx)
	stop()
	all.Wait()
	kills, _ := s.killParts(ctx, c.length)
	s.checkGuarantees()
	res.faults += kills
	res.served = s.record.served()
}

// injectFaults injects faults, some of them concurrently, and returns how many.
func injectFaults(ctx context.Context, length time.Duration, s *site) int {
	end := time.Now().Add(length)
	controlFault := make(chan struct{}, 1)
	var all sync.WaitGroup
	all.Go(func() { changeWeights(ctx, end, s) })
	all.Go(func() { changeLimits(ctx, end, s) })
	all.Go(func() { evacuateZones(ctx, end, s) })
	all.Go(func() { sendCrashing(ctx, end, s) })
	all.Go(func() { sendCrashingParts(ctx, end, s) })
	all.Go(func() { surgeEntries(ctx, end, s) })
	all.Go(func() { changeBackoffs(ctx, end, s) })
	all.Go(func() { silenceServers(ctx, end, s, rand.New(rand.NewPCG(s.seed, 31))) })
	all.Go(func() { cutEntries(ctx, end, s) })
	all.Go(func() { makeBrittle(ctx, end, s) })
	all.Go(func() { changeVersions(ctx, end, s) })
	all.Go(func() { sendOddMessages(ctx, end, s) })
	n := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		f := faults[s.newRandom().IntN(len(faults))]
		if f.affectsControl {
			select {
			case controlFault <- struct{}{}:
			default:
				continue
			}
		}
		n++
		s.record.note("%s", f.name)
		all.Go(func() {
			f.inject(ctx, s)
			s.record.note("over: %s", f.name)
			if f.affectsControl {
				<-controlFault
			}
		})
		sleep(ctx, s.randomDuration(1200*time.Millisecond))
	}
	all.Wait()
	return n
}

// maxVersionInterval is the longest time between two versions of weights.
const maxVersionInterval = 6 * time.Second

// changeWeights sets new weight versions at random times until end. It uses a separate
// random source, so that it does not change the faults of a seed.
func changeWeights(ctx context.Context, end time.Time, s *site) {
	r := rand.New(rand.NewPCG(s.seed, 11))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(maxVersionInterval))))
		if !time.Now().Before(end) {
			return
		}
		s.record.note("set new weights")
		s.operator.setVersion(ctx, r)
	}
}

// checkRecovery waits until callers are served and every replica returns the newest document.
func (s *site) checkRecovery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryBound)
	defer cancel()
	before := s.record.served()
	for s.record.served() < before+50 && ctx.Err() == nil {
		sleep(ctx, 100*time.Millisecond)
	}
	if ctx.Err() != nil {
		s.record.reportViolation("callers are not served again: %d since the last fault", s.record.served()-before)
	}
	s.checkWeights(ctx)
	newestRevision := 0
	for _, at := range s.operator.controls {
		for {
			revision, ok := s.operator.readDocument(ctx, at)
			if ok {
				newestRevision = max(newestRevision, revision)
				break
			}
			if ctx.Err() != nil {
				s.record.reportViolation("%s can't be read", at)
				break
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
	s.checkInForce(ctx, newestRevision)
}

// checkInForce waits until every entry serves the route that only the newest document has.
func (s *site) checkInForce(ctx context.Context, newestRevision int) {
	for i, f := range s.fronts {
		for !inForce(ctx, f.address(), newestRevision) {
			if ctx.Err() != nil {
				s.record.reportViolation("document %d is not in force at entry-%d", newestRevision, i)
				break
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
}

// inForce reports whether the entry behind the address serves the route that only that document has.
func inForce(ctx context.Context, address string, revision int) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/n%d/x", address, revision), nil)
	if err != nil {
		return false
	}
	q.Host, q.Close = "soak", true
	q.Header.Set("Attempt-Id", fmt.Sprintf("probe-%d-%s", revision, address))
	q.Header.Set("X-Api-Key", "k1")
	q.Header.Set("Deadline-Ms", "900")
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// checkWeights waits until every engine has the newest weights.
func (s *site) checkWeights(ctx context.Context) {
	for ctx.Err() == nil {
		outdated := s.outdatedEngines()
		if outdated == 0 {
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
	s.record.reportViolation("%d engines don't have version %d", s.outdatedEngines(), s.orders.newestVersion())
}

// outdatedEngines counts the engines without the newest weights.
func (s *site) outdatedEngines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, x := range s.servers {
		if x.engine == nil {
			continue
		}
		x.engine.mu.Lock()
		if x.engine.version != s.orders.newestVersion() {
			n++
		}
		x.engine.mu.Unlock()
	}
	return n
}

// checkGuarantees checks that no request whose response said "not run" has run, and that
// servers got no requests long after their leave was acknowledged.
func (s *site) checkGuarantees() {
	s.record.mu.Lock()
	notRun := s.record.notRun
	s.record.mu.Unlock()
	for _, id := range notRun {
		if n := s.executions.count(id); n > 0 {
			s.record.reportViolation("%s was answered as not run and ran %d times", id, n)
		}
	}
	s.executions.mu.Lock()
	late := s.executions.late
	s.executions.mu.Unlock()
	if late > 0 {
		s.record.reportViolation("%d requests reached servers over %s after their leave was acknowledged", late, drainBound)
	}
}
