package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storedPart is a part in a store, or the place that is kept for one.
type storedPart struct {
	tokens int
	whole  bool
	// fetches counts the fetches of the part that run.
	fetches int
}

// store is a stand-in of a managed store: it drops nothing by itself.
type store struct {
	name     string
	address  string
	capacity int
	epoch    int64
	listener net.Listener
	http     *http.Server

	mu     sync.Mutex
	parts  map[[2]string]*storedPart
	used   int
	events [][]any
	dark   bool
	closed chan struct{}
	// onFree is called for each order to free parts, before it is carried out, and onEarlyFree for each part that is freed under a
	// fetch.
	onFree      func(x *store, from string, parts [][2]string)
	onEarlyFree func(x *store, from string, part [2]string, fetches int)
}

// addStore starts a store.
func (s *site) addStore(name string, capacity int) (*store, error) {
	l, err := net.Listen("tcp4", s.network+"210:0")
	if err != nil {
		return nil, err
	}
	x := &store{name: name, address: l.Addr().String(), capacity: capacity, epoch: time.Now().UnixMilli(), listener: l, parts: map[[2]string]*storedPart{}, closed: make(chan struct{})}
	x.http = &http.Server{Handler: x}
	go func() { _ = x.http.Serve(l) }()
	return x, nil
}

func (x *store) close() {
	close(x.closed)
	_ = x.http.Close()
}

// setDark makes the store silent: it takes connections and answers nothing.
func (x *store) setDark() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.dark = true
}

func (x *store) isDark() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.dark
}

// ServeHTTP answers the calls of control replicas.
func (x *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == names["free"] {
		x.serveFree(w, q)
		return
	}
	if x.isDark() {
		x.hang(q)
		return
	}
	switch q.URL.Path {
	case names["events"]:
		x.serveEvents(w, q)
	case names["list"]:
		x.serveList(w)
	default:
		x.mu.Lock()
		writeJSON(w, map[string]any{"kv_used": x.used, "kv_total": x.capacity, "boot_epoch": x.epoch, "clock_ms": time.Now().UnixMilli()})
		x.mu.Unlock()
	}
}

// hang answers nothing until the caller leaves.
func (x *store) hang(q *http.Request) {
	select {
	case <-q.Context().Done():
	case <-x.closed:
	}
	panic(http.ErrAbortHandler)
}

func (x *store) serveEvents(w http.ResponseWriter, q *http.Request) {
	since, _ := strconv.Atoi(q.URL.Query().Get("since"))
	for deadline := time.Now().Add(800 * time.Millisecond); ; time.Sleep(10 * time.Millisecond) {
		if x.isDark() {
			x.hang(q)
		}
		x.mu.Lock()
		fresh := append([][]any{}, x.events[min(since, len(x.events)):]...)
		next := len(x.events)
		x.mu.Unlock()
		if len(fresh) > 0 || time.Now().After(deadline) {
			writeJSON(w, map[string]any{"boot_epoch": x.epoch, "next": next, "lost": false, "events": fresh, "clock_ms": time.Now().UnixMilli()})
			return
		}
	}
}

func (x *store) serveList(w http.ResponseWriter) {
	x.mu.Lock()
	defer x.mu.Unlock()
	held, partial := [][]any{}, [][]any{}
	for p, v := range x.parts {
		if v.whole {
			held = append(held, []any{p[0], p[1], v.tokens, model})
		} else {
			partial = append(partial, []any{p[0], p[1], 0, v.tokens})
		}
	}
	writeJSON(w, map[string]any{"boot_epoch": x.epoch, "next": len(x.events), "held": held, "partial": partial, "clock_ms": time.Now().UnixMilli()})
}

func (x *store) serveFree(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Parts   [][2]string `json:"parts"`
		Epoch   int64       `json:"boot_epoch"`
		UntilMs int64       `json:"until_ms"`
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	from, _, _ := net.SplitHostPort(q.RemoteAddr)
	x.onFree(x, from, o.Parts)
	if x.isDark() {
		x.hang(q)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if o.Epoch != x.epoch || o.UntilMs != 0 && time.Now().UnixMilli() > o.UntilMs {
		w.WriteHeader(http.StatusConflict)
		return
	}
	for _, p := range o.Parts {
		v, ok := x.parts[p]
		if !ok {
			continue
		}
		if v.fetches > 0 {
			x.onEarlyFree(x, from, p, v.fetches)
		}
		x.used -= v.tokens
		delete(x.parts, p)
		x.event("-", p, 0)
	}
	writeJSON(w, struct{}{})
}

// event adds an event; the caller holds the lock.
func (x *store) event(sign string, p [2]string, tokens int) {
	x.events = append(x.events, []any{len(x.events) + 1, sign, p[0], p[1], tokens, model})
}

// reserve keeps room for a part that is being saved, and returns false if there is none.
func (x *store) reserve(p [2]string, tokens int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.parts[p]; ok || x.dark || x.used+tokens > x.capacity {
		return false
	}
	x.parts[p] = &storedPart{tokens: tokens}
	x.used += tokens
	return true
}

func (x *store) complete(p [2]string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if v, ok := x.parts[p]; ok {
		v.whole = true
		x.event("+", p, v.tokens)
	}
}

// beginFetch begins a fetch. It returns false for a miss.
func (x *store) beginFetch(p [2]string) (*storedPart, error, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	v, ok := x.parts[p]
	if !ok || x.dark {
		return nil, nil, false
	}
	if !v.whole {
		return nil, fmt.Errorf("part %s isn't whole", p[1]), false
	}
	v.fetches++
	return v, nil, true
}

func (x *store) endFetch(v *storedPart) {
	x.mu.Lock()
	defer x.mu.Unlock()
	v.fetches--
}
