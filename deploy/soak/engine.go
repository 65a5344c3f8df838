package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// model is the model that all engines run.
	model = "m"
	// loadTime is how long an engine takes to load weights.
	loadTime = 300 * time.Millisecond
	// maxConcurrentLoads is how many engines of a small site may load weights at the same time.
	maxConcurrentLoads = 2
)

// orders records the orders that the engines of a run received, and the weight version
// that each cache salt was used with.
type orders struct {
	record *record

	mu sync.Mutex
	// holderOf maps a fencing number to the lease holder that used it.
	holderOf       map[int]string
	loadingEngines int
	versionOf      map[string]int
	// acknowledged is the newest version whose order by the operator was acknowledged.
	acknowledged int
}

func newOrders(r *record) *orders {
	return &orders{record: r, holderOf: map[int]string{}, versionOf: map[string]int{}, acknowledged: 1}
}

// checkFencing checks that only one lease holder uses a fencing number.
func (o *orders) checkFencing(fencing int, holder string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if previous, ok := o.holderOf[fencing]; ok && previous != holder {
		o.record.reportViolation("%s and %s order with fencing number %d", previous, holder, fencing)
	}
	o.holderOf[fencing] = holder
}

// countLoading counts the engines that are loading weights.
func (o *orders) countLoading(change int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loadingEngines += change
	if o.loadingEngines > maxConcurrentLoads {
		o.record.reportViolation("%d engines load weights concurrently", o.loadingEngines)
	}
}

// checkSalt checks that parts computed with one weight version are not used with another.
func (o *orders) checkSalt(salt string, version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if previous, ok := o.versionOf[salt]; ok && previous != version {
		o.record.reportViolation("parts under %q are used by versions %d and %d", salt, previous, version)
	}
	o.versionOf[salt] = version
}

func (o *orders) newestVersion() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acknowledged
}

// engine holds the weights of a stand-in for a model engine. It is nil at a plain server, which has none.
type engine struct {
	orders *orders

	mu       sync.Mutex
	version  int
	sequence int
	fencing  int
	busy     bool
}

// serveControl serves the requests of control replicas, and reports whether q is one.
func (e *engine) serveControl(w http.ResponseWriter, q *http.Request) bool {
	switch {
	case e != nil && q.URL.Path == "/v1/report":
		e.report(w)
	case e != nil && q.URL.Path == "/v1/order":
		e.handleOrder(w, q)
	default:
		return false
	}
	return true
}

// models returns the weights that the server announces.
func (e *engine) models() string {
	if e == nil {
		return "[]"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf(`[{"name":%q,"version":%d,"adapters":[]}]`, model, e.version)
}

func (e *engine) report(w http.ResponseWriter) {
	models := e.models()
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"stage":"combined","models":%s,"busy":%t,"sequence":%d,"queued":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0}`, models, e.busy, e.sequence)
}

// handleOrder accepts or refuses an order to load weights.
func (e *engine) handleOrder(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Version      int    `json:"version"`
		Holder       string `json:"holder"`
		FencingToken int    `json:"fencing_token"`
		Precondition *int   `json:"precondition"`
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 {
		e.orders.record.reportViolation("malformed order: %v %+v", err, o)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.orders.checkFencing(o.FencingToken, o.Holder)
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken < e.fencing {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	e.fencing = o.FencingToken
	switch {
	case e.busy || o.Precondition != nil && *o.Precondition != e.sequence:
		w.WriteHeader(http.StatusConflict)
	case o.Version == e.version:
		w.WriteHeader(http.StatusOK)
	default:
		e.busy = true
		e.sequence++
		e.orders.countLoading(1)
		time.AfterFunc(loadTime, func() { e.finishLoad(o.Version) })
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *engine) finishLoad(version int) {
	e.orders.countLoading(-1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy, e.version = false, version
}

// admits reports whether a request may run, and writes an error response otherwise.
func (e *engine) admits(w http.ResponseWriter, q *http.Request) bool {
	if e == nil {
		return true
	}
	e.mu.Lock()
	version, busy := e.version, e.busy
	e.mu.Unlock()
	w.Header().Set("Weight-Versions", strconv.Itoa(version))
	if want := q.Header.Get("Expect-Version"); want != "" && want != strconv.Itoa(version) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if busy {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	e.orders.checkSalt(q.Header.Get("Cache-Salt"), version)
	return true
}
