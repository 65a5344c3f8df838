package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of the pages' sheet of engines.
const (
	modelName    = "m0"
	engineTokens = 90670
	prefillRate  = 56.1 // tokens in a millisecond
	engineSlots  = 128
)

// engine is a stand-in of a model server.
type engine struct {
	place       *place
	id, zone    string
	address     string
	stores      []*store
	server      *http.Server
	born        int64
	crashed     chan struct{}
	crashOnce   sync.Once
	onFetch     func(e *engine, attempt string, p part, store, outcome string)
	onSave      func(e *engine, p part, store string)
	prefill     sync.Mutex
	mu          sync.Mutex
	cache       map[part]int
	order       []part
	events      feed
	announcedAt int64
}

func newEngine(p *place, id, ip, zone string, stores []*store) (*engine, error) {
	e := &engine{place: p, id: id, zone: zone, address: ip + ":8100", stores: stores, born: time.Now().UnixMilli(), crashed: make(chan struct{}), cache: map[part]int{}, events: newFeed()}
	l, err := listen(e.address)
	if err != nil {
		return nil, err
	}
	m := http.NewServeMux()
	m.HandleFunc("GET "+names["report"], e.serveReport)
	m.HandleFunc("GET "+names["events"], e.serveEvents)
	m.HandleFunc("GET "+names["list"], func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		held, next := [][]any{}, len(e.events.all)
		for p, n := range e.cache {
			held = append(held, []any{p.salt, p.id, n, modelName})
		}
		e.mu.Unlock()
		writeJSON(w, map[string]any{"boot_epoch": e.born, "next": next, "held": held})
	})
	m.HandleFunc("POST /", e.serve)
	e.server = &http.Server{Handler: m}
	go func() { _ = e.server.Serve(l) }()
	go e.announce()
	return e, nil
}

// listen listens on a loopback address.
func listen(address string) (net.Listener, error) {
	var l net.Listener
	var err error
	await(3*time.Second, func() bool {
		l, err = net.Listen("tcp", address)
		return err == nil
	})
	return l, err
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func models() []any {
	return []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}}
}

// announce announces the engine until it crashes.
func (e *engine) announce() {
	for {
		e.announcedAt++
		e.place.beat(e.id, map[string]any{
			"service": "signal-llm", "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready",
			"cold_remaining_ms": 0, "stage": "combined", "models": models(), "sequence": e.announcedAt, "born": e.born,
		})
		select {
		case <-e.crashed:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// crash ends the engine. Its transfers break off.
func (e *engine) crash() {
	e.crashOnce.Do(func() {
		close(e.crashed)
		_ = e.server.Close()
	})
}

func (e *engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]any{
		"stage": "combined", "models": models(), "busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": engineTokens, "handles": 0,
		"clock_ms": time.Now().UnixMilli(),
	})
}

func (e *engine) serveEvents(w http.ResponseWriter, q *http.Request) {
	next, lost, all := e.events.since(q, &e.mu)
	writeJSON(w, map[string]any{"boot_epoch": e.born, "next": next, "lost": lost, "events": all, "clock_ms": time.Now().UnixMilli()})
}

// serve runs a prompt: it takes its parts from its own memory, from the stores that the request names, or reads them.
func (e *engine) serve(w http.ResponseWriter, q *http.Request) {
	h, attempt := q.Header, q.Header.Get(names["attempt"])
	fetches, saves := strings.Split(h.Get(names["fetch"]), ","), strings.Split(h.Get(names["save"]), ",")
	until := time.Now().Add(time.Hour)
	if n, err := strconv.ParseInt(h.Get(names["until"]), 10, 64); err == nil {
		until = time.UnixMilli(n)
	}
	contiguous := true
	for i, entry := range strings.Split(h.Get(names["prefix"]), ",") {
		id, size, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(size)
		p := part{h.Get(names["salt"]), id}
		if contiguous && e.has(p, tokens) {
			continue
		}
		if contiguous && i < len(fetches) {
			if s := e.storeAt(fetches[i]); s != nil {
				outcome := s.fetch(p, e.zone, until)
				e.onFetch(e, attempt, p, s.name, outcome)
				if outcome == taken || outcome == notWhole || outcome == freed {
					e.keep(p, tokens)
					continue
				}
			}
		}
		contiguous = false
		e.read(p, tokens)
		if i < len(saves) {
			if s := e.storeAt(saves[i]); s != nil {
				e.onSave(e, p, s.name)
				go s.save(p, tokens, e.zone, e.crashed)
			}
		}
	}
	select {
	case <-e.crashed:
		panic(http.ErrAbortHandler)
	default:
	}
	w.Header().Set(names["attempt"], attempt)
	w.Header().Set(names["stamp"], "stamp."+e.id+"."+attempt)
	w.Header().Set(names["instance"], e.id)
	w.Header().Set(names["weights"], "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 4; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, attempt, n)
	}
}

func (e *engine) storeAt(address string) *store {
	address, _, _ = strings.Cut(strings.TrimSpace(address), "/")
	for _, s := range e.stores {
		if s.address == address {
			return s
		}
	}
	return nil
}

func (e *engine) has(p part, tokens int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache[p] >= tokens
}

// keep keeps a part; the oldest ones yield.
func (e *engine) keep(p part, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.cache[p]; !ok {
		e.order = append(e.order, p)
		e.events.add("+", p, tokens)
	}
	e.cache[p] = tokens
	used := 0
	for _, n := range e.cache {
		used += n
	}
	for used > engineTokens && len(e.order) > 1 {
		used -= e.cache[e.order[0]]
		delete(e.cache, e.order[0])
		e.events.add("-", e.order[0], 0)
		e.order = e.order[1:]
	}
}

// read prefills a part, one after the other. A part that another request has read meanwhile isn't read again.
func (e *engine) read(p part, tokens int) {
	e.prefill.Lock()
	defer e.prefill.Unlock()
	if e.has(p, tokens) {
		return
	}
	select {
	case <-time.After(time.Duration(float64(tokens) / prefillRate * float64(time.Millisecond))):
		e.keep(p, tokens)
	case <-e.crashed:
	}
}
