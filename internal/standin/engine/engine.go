package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hornbeamwood/internal/standin/backend"
)

// Engine serves completions, cache exports and orders.
type Engine interface {
	http.Handler
	// Announcement returns the current announcement with the given sequence number.
	Announcement(sequence uint64) any
	// SendEvents posts cache events through a until ctx ends.
	SendEvents(ctx context.Context, a backend.Announcer)
	// Leave makes the engine announce that it is leaving and refuse new work.
	Leave()
	// Running returns the number of runs that have not ended.
	Running() int
	// Report returns the counters for tests.
	Report() Report
	// Close stops the goroutines of the engine and waits for them.
	Close()
}

type engine struct {
	config     Config
	mux        *http.ServeMux
	client     *http.Client
	ctx        context.Context
	stop       context.CancelFunc
	work       chan struct{}
	goroutines sync.WaitGroup

	mu           sync.Mutex
	random       *rand.Rand
	runs         map[string]*run
	waiting      []*run
	arrivals     uint64
	running      int
	queuedTokens int64
	cache        *cache
	leaving      bool
	versions     map[string]string
	role         string
	fencing      uint64
	orders       map[string]*orderState
	lastOrder    string
	report       Report
	loads        []loadReport
}

const importTimeout = 30 * time.Second

// New returns an Engine with an empty cache. Close stops it.
func New(c Config) Engine {
	ctx, stop := context.WithCancel(context.Background())
	e := &engine{
		config:   c,
		mux:      http.NewServeMux(),
		client:   &http.Client{Timeout: importTimeout},
		ctx:      ctx,
		stop:     stop,
		work:     make(chan struct{}, 1),
		random:   rand.New(rand.NewPCG(c.Seed, 1)),
		runs:     make(map[string]*run),
		cache:    newCache(c.CachePieces),
		versions: make(map[string]string),
		role:     c.Role,
		orders:   make(map[string]*orderState),
	}
	for _, m := range c.Models {
		e.versions[m] = c.WeightVersion
	}
	e.routes()
	e.goroutines.Go(func() { e.prefillLoop() })
	return e
}

func (e *engine) routes() {
	e.mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, q *http.Request) { e.complete(w, q, false) })
	e.mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, q *http.Request) { e.complete(w, q, true) })
	e.mux.HandleFunc("DELETE /v1/runs/{attempt}", e.cancelRun)
	e.mux.HandleFunc("POST /v1/cache/exports", e.export)
	e.mux.HandleFunc("POST /v1/orders", e.acceptOrder)
	e.mux.HandleFunc("GET /v1/orders/{id}", e.getOrder)
	e.mux.HandleFunc("GET /standin/report", func(w http.ResponseWriter, _ *http.Request) {
		backend.WriteJSON(w, http.StatusOK, e.Report())
	})
}

// ServeHTTP implements Engine.
func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	e.mux.ServeHTTP(w, q)
}

// Close implements Engine.
func (e *engine) Close() {
	e.stop()
	e.goroutines.Wait()
}

// Leave implements Engine.
func (e *engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Running implements Engine.
func (e *engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running + len(e.waiting)
}

// Report implements Engine.
func (e *engine) Report() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report
}
