package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Sizes of the site of a run.
const (
	seedReplicas   = 3
	servers        = 3
	engines        = 3
	clientsPerSite = 6
)

// site holds the processes, servers and clients of one run.
type site struct {
	folder      string
	record      *record
	executions  *executions
	replicas    []*process
	entries     []*process
	fronts      []*proxy
	operator    *operator
	orders      *orders
	limits      *limits
	evacuations *evacuations
	crashing    *crashing
	backoffs    *backoffs
	leaving     *leaving
	cuts        *cuts
	losses      *losses
	brittle     *brittle
	versions    *versions
	balancer    balancer
	seeds       []string
	// cutNumber and brittleNumber count the cuts and the times in which a service is brittle.
	cutNumber, brittleNumber int
	// overloaded is held during an overload or a cut: when hardly any caller is served, a cut shows nothing.
	overloaded sync.Mutex

	seed uint64
	// quickRestarts is set if killed servers may be back under their IDs at once.
	quickRestarts bool
	// damagesDisks is set if replicas that lose their disks get them back damaged, as damageRandom says. One fault of
	// this kind is active at a time.
	damagesDisks   bool
	damageRandom   *rand.Rand
	mu             sync.Mutex
	closed         bool
	random         *rand.Rand
	servers        []*server
	serversStarted int
	// network begins the addresses of the run. parts is nil before servers and callers are processes of their own.
	network string
	parts   *parts
}

// newSite starts a site on separate loopback addresses, which depend on the seed and the process ID.
func newSite(c runConfig, folder string, r *record) (*site, error) {
	s := &site{
		folder: folder, record: r, seed: c.seed, quickRestarts: c.quickRestarts, damagesDisks: c.damagesDisks, damageRandom: rand.New(rand.NewPCG(c.seed, 63)), random: rand.New(rand.NewPCG(c.seed, 1)),
		executions: &executions{record: r, runs: map[string]int{}, tenants: map[string]string{}},
	}
	s.network = fmt.Sprintf("127.%d.%d.", 16+os.Getpid()%200, c.seed%250)
	var controls []string
	for i := range c.replicas {
		controls = append(controls, fmt.Sprint(s.network, 10+i))
	}
	s.seeds = controls[:min(len(controls), seedReplicas)]
	s.orders, s.limits, s.crashing = newOrders(r), newLimits(r), newCrashing(r)
	s.evacuations = newEvacuations(r, s.limits)
	s.backoffs, s.leaving = newBackoffs(r, s.limits), newLeaving(r, s.limits)
	s.operator = &operator{controls: controls, record: r, orders: s.orders, growth: rand.New(rand.NewPCG(c.seed, 13))}
	s.cuts, s.brittle, s.versions = newCuts(), newBrittle(r, s.limits), &versions{record: r}
	s.brittle.inTouch = s.inTouchSince
	s.losses = &losses{record: r, limits: s.limits, passedOn: map[string][]arrival{}, document: s.operator.lastChange, cuts: s.cuts, fronts: s.frontOf}
	for i, ip := range controls {
		s.replicas = append(s.replicas, s.newProcess(c, fmt.Sprint("control-", i), "control", ip))
	}
	s.crashing.replicas = s.replicas
	for i := range c.entries {
		p := s.newProcess(c, fmt.Sprint("entry-", i), "entry", fmt.Sprint(s.network, 50+i))
		s.entries = append(s.entries, p)
		s.limits.entries = s.entries
		front, err := newProxy(p.ip+":8005", nil)
		if err != nil {
			return s, err
		}
		s.fronts = append(s.fronts, front)
	}
	for _, p := range append(append([]*process{}, s.replicas...), s.entries...) {
		if err := p.writeSettings(folder, s.seeds, true); err != nil {
			return s, err
		}
		if err := p.start(); err != nil {
			return s, err
		}
	}
	for range servers {
		if err := s.addServer(plainService); err != nil {
			return s, err
		}
	}
	for range engines {
		if err := s.addServer(engineService); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *site) newProcess(c runConfig, name, role, ip string) *process {
	return &process{
		name: name, role: role, ip: ip, program: c.program,
		settings: filepath.Join(s.folder, name+".toml"),
		log:      filepath.Join(s.folder, name+".log"),
		dataDir:  filepath.Join(s.folder, name+"-data"),
		onExit:   s.handleExit,
	}
}

const (
	// startBound is how long after its start the exit of a program is not a violation: a
	// signal may arrive before the program handles signals.
	startBound = time.Second
	// startDelay is how long the provider takes to restart a program that has exited.
	startDelay = 300 * time.Millisecond
)

// handleExit restarts a program that has exited by itself, as the provider does.
func (s *site) handleExit(p *process, ran time.Duration, err error) {
	if ran > startBound {
		s.record.reportViolation("%s ended by itself after %s: %v", p.name, ran, err)
	}
	s.record.note("%s ended by itself after %s: %v", p.name, ran, err)
	time.Sleep(startDelay)
	p.faultLock.Lock()
	defer p.faultLock.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || p.runningOrStopped() {
		return
	}
	if err := s.restart(p); err != nil {
		s.record.reportViolation("start %s: %v", p.name, err)
	}
}

// restart starts a process again without the bootstrap flag of the first start.
func (s *site) restart(p *process) error {
	if err := p.writeSettings(s.folder, s.seeds, false); err != nil {
		return err
	}
	return p.start()
}

// Services of the site: a plain one, and one of model engines.
const (
	plainService  = "desk"
	engineService = "writer"
)

func (s *site) addServer(service string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serversStarted++
	var e *engine
	if service == engineService {
		e = &engine{orders: s.orders, version: s.orders.newestVersion()}
	}
	x, err := newServer(serverConfig{
		// Another run may get the address of a server that has ended.
		id: fmt.Sprintf("i-%d-%d", s.seed, s.serversStarted), service: service, zone: zones[s.serversStarted%len(zones)],
		// Servers of both services start by turns at the beginning of a check.
		software:   softwareVersions[s.serversStarted/2%len(softwareVersions)],
		executions: s.executions, limits: s.limits, evacuations: s.evacuations, controls: s.seeds, engine: e,
		backoffs: s.backoffs, leaving: s.leaving, crashing: s.crashing, onCrash: s.crashServer,
		cuts: s.cuts, losses: s.losses, brittle: s.brittle,
	})
	if err != nil {
		return err
	}
	s.servers = append(s.servers, x)
	return nil
}

// replaceServer starts a new server and ends the oldest one, at once or after it has announced that it leaves.
func (s *site) replaceServer(crash bool) {
	s.mu.Lock()
	old := s.servers[0]
	s.servers = s.servers[1:]
	s.mu.Unlock()
	if err := s.addServer(old.service); err != nil {
		s.record.reportViolation("start a server: %v", err)
		return
	}
	if crash {
		old.crash()
		return
	}
	old.leave()
	time.AfterFunc(announceAfter+6*time.Second, old.crash)
}

// newRandom returns a separate random source for one use.
func (s *site) newRandom() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.random.Uint64(), 3))
}

func (s *site) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.newRandom().Int64N(int64(d)))
}

func (s *site) replica() *process { return s.replicas[s.newRandom().IntN(len(s.replicas))] }

func (s *site) entry() *process { return s.entries[s.newRandom().IntN(len(s.entries))] }

func (s *site) front() *proxy { return s.fronts[s.newRandom().IntN(len(s.fronts))] }

// frontOf returns the proxy through which callers reach the entry.
func (s *site) frontOf(e *process) *proxy { return s.fronts[slices.Index(s.entries, e)] }

func (s *site) server() *server {
	random := s.newRandom()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[random.IntN(len(s.servers))]
}

// close ends everything that the run has started.
func (s *site) close() {
	s.mu.Lock()
	s.closed = true
	own := s.parts
	s.mu.Unlock()
	if own != nil {
		for _, x := range own.all() {
			x.stop(syscall.SIGKILL, time.Second)
		}
	}
	for _, p := range append(append([]*process{}, s.entries...), s.replicas...) {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL, time.Second)
	}
	for _, p := range s.fronts {
		p.close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.servers {
		x.crash()
	}
}
