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
	// model is the one that all engines run.
	model = "m"
	// loadTime is how long new weights take an engine.
	loadTime = 300 * time.Millisecond
	// loadsAtOnce is how many engines of a small site may load at the same time.
	loadsAtOnce = 2
)

// orders is what the engines of a run saw of the orders to them, and under which
// weights each salt was used.
type orders struct {
	record *record

	mu sync.Mutex
	// holders is who used each fencing number.
	holders map[int]string
	loading int
	salts   map[string]int
	// named is the newest version that the operator's order was acknowledged for.
	named int
}

func newOrders(r *record) *orders {
	return &orders{record: r, holders: map[int]string{}, salts: map[string]int{}, named: 1}
}

// seen checks that a fencing number belongs to one holder.
func (o *orders) seen(fencing int, holder string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.holders[fencing]; ok && known != holder {
		o.record.broke("%s and %s order with the number %d", known, holder, fencing)
	}
	o.holders[fencing] = holder
}

// load counts the engines that load weights.
func (o *orders) load(change int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loading += change
	if o.loading > loadsAtOnce {
		o.record.broke("%d engines load weights at once", o.loading)
	}
}

// use checks that parts read under one version are not used under another.
func (o *orders) use(salt string, version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.salts[salt]; ok && known != version {
		o.record.broke("parts under %q are used by versions %d and %d", salt, known, version)
	}
	o.salts[salt] = version
}

func (o *orders) newest() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.named
}

// engine is the weights of a stand-in model engine.
type engine struct {
	orders *orders

	mu       sync.Mutex
	version  int
	sequence int
	fencing  int
	busy     bool
}

func (e *engine) models() string {
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

// order takes an order to load weights.
func (e *engine) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Version      int    `json:"version"`
		Holder       string `json:"holder"`
		FencingToken int    `json:"fencing_token"`
		Precondition *int   `json:"precondition"`
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 {
		e.orders.record.broke("an order that can't be read: %v %+v", err, o)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.orders.seen(o.FencingToken, o.Holder)
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
		e.orders.load(1)
		time.AfterFunc(loadTime, func() { e.loaded(o.Version) })
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *engine) loaded(version int) {
	e.orders.load(-1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy, e.version = false, version
}

// admits returns whether a prompt may run, and answers it otherwise.
func (e *engine) admits(w http.ResponseWriter, q *http.Request) bool {
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
	e.orders.use(q.Header.Get("Cache-Salt"), version)
	return true
}
