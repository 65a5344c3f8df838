package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// tokenBytes, storeMbps and readPerMs are those of a small deployment; a transfer between zones takes twice as long.
	tokenBytes = 35136.0
	storeMbps  = 86000.0
	readPerMs  = 61.4
)

// moveTime returns how long a transfer from a store in another zone takes.
func moveTime(tokens int) time.Duration {
	return time.Duration(2 * float64(tokens) * tokenBytes * 8 / (storeMbps * 1e6) * float64(time.Second))
}

// memory is a stand-in of an engine that fetches from and saves to stores. Its least recently used parts yield.
type memory struct {
	stores   map[string]*store
	capacity int
	record   *record
	// onFetch is called when a fetch begins.
	onFetch func(p [2]string)
	// link is held by the transfer that runs, and slot by the request that runs.
	link, slot sync.Mutex

	mu     sync.Mutex
	held   [][2]string
	sizes  map[[2]string]int
	events [][]any
}

// serve answers requests and the calls of control replicas.
func (m *memory) serve(x *server, w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/v1/report":
		fmt.Fprintf(w, `{"stage":"combined","models":%s,"busy":false,"sequence":0,"queued":0,"running":0,"kv_used":0,"kv_total":%d,"handles":0,"clock_ms":%d}`, engineModels, m.capacity, time.Now().UnixMilli())
	case names["events"]:
		m.serveEvents(x, w, q)
	case names["list"]:
		m.mu.Lock()
		held := [][]any{}
		for _, p := range m.held {
			held = append(held, []any{p[0], p[1], m.sizes[p], model})
		}
		next := len(m.events)
		m.mu.Unlock()
		writeJSON(w, map[string]any{"boot_epoch": x.born, "next": next, "held": held, "clock_ms": time.Now().UnixMilli()})
	default:
		m.run(x, w, q)
	}
}

func (m *memory) serveEvents(x *server, w http.ResponseWriter, q *http.Request) {
	since, _ := strconv.Atoi(q.URL.Query().Get("since"))
	for deadline := time.Now().Add(800 * time.Millisecond); ; time.Sleep(10 * time.Millisecond) {
		m.mu.Lock()
		fresh := append([][]any{}, m.events[min(since, len(m.events)):]...)
		next := len(m.events)
		m.mu.Unlock()
		if len(fresh) > 0 || time.Now().After(deadline) {
			writeJSON(w, map[string]any{"boot_epoch": x.born, "next": next, "lost": false, "events": fresh, "clock_ms": time.Now().UnixMilli()})
			return
		}
	}
}

// holds returns whether a part is held, and makes it the one used last.
func (m *memory) holds(p [2]string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, h := range m.held {
		if h == p {
			m.held = append(append(m.held[:i:i], m.held[i+1:]...), p)
			return true
		}
	}
	return false
}

func (m *memory) keep(p [2]string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held = append(m.held, p)
	m.sizes[p] = tokens
	m.events = append(m.events, []any{len(m.events) + 1, "+", p[0], p[1], tokens, model})
	sum := 0
	for _, h := range m.held {
		sum += m.sizes[h]
	}
	for sum > m.capacity && len(m.held) > 1 {
		old := m.held[0]
		m.held = m.held[1:]
		sum -= m.sizes[old]
		m.events = append(m.events, []any{len(m.events) + 1, "-", old[0], old[1], 0, model})
	}
}

// run brings the parts of a prompt into memory, has them saved, and streams an answer.
func (m *memory) run(x *server, w http.ResponseWriter, q *http.Request) {
	id, salt := q.Header.Get(names["attempt"]), q.Header.Get(names["salt"])
	h := w.Header()
	h.Set(names["attempt"], id)
	h.Set(names["versions"], "1")
	if want := q.Header.Get(names["expect-version"]); want != "" && want != "1" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.slot.Lock()
	defer m.slot.Unlock()
	sources, targets := strings.Split(q.Header.Get(names["fetch"]), ","), strings.Split(q.Header.Get(names["save"]), ",")
	until, _ := strconv.ParseInt(q.Header.Get(names["until"]), 10, 64)
	for i, entry := range strings.Split(q.Header.Get(names["prefix"]), ",") {
		name, size, _ := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, _ := strconv.Atoi(size)
		p := [2]string{salt, name}
		if m.holds(p) {
			continue
		}
		if !m.fetch(x, id, p, tokens, at(sources, i), until) {
			time.Sleep(time.Duration(float64(tokens) / readPerMs * float64(time.Millisecond)))
		}
		m.keep(p, tokens)
		m.save(p, tokens, at(targets, i))
	}
	h.Set(names["stamp"], "3e1b.07")
	h.Set("Content-Type", "text/event-stream")
	for n := range 5 {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// at returns an element of a list of addresses, empty if there is none.
func at(all []string, i int) string {
	if i >= len(all) {
		return ""
	}
	address, _, _ := strings.Cut(strings.TrimSpace(all[i]), "/")
	return address
}

// fetch fetches a part and returns whether it has it now.
func (m *memory) fetch(x *server, id string, p [2]string, tokens int, address string, until int64) bool {
	s, ok := m.stores[address]
	if !ok {
		return false
	}
	m.link.Lock()
	defer m.link.Unlock()
	v, err, ok := s.beginFetch(p)
	if err != nil {
		m.record.breach("MIXED: %s fetches from %s: %v", id, s.name, err)
	}
	if !ok {
		m.record.note("%s at %s: %s misses part %s", id, x.id, s.name, p[1])
		return false
	}
	m.record.note("%s at %s fetches part %s from %s", id, x.id, p[1], s.name)
	m.onFetch(p)
	time.Sleep(moveTime(tokens))
	s.endFetch(v)
	return until == 0 || time.Now().UnixMilli() <= until
}

// save saves a part to a store, if there is room.
func (m *memory) save(p [2]string, tokens int, address string) {
	s, ok := m.stores[address]
	if !ok || !s.reserve(p, tokens) {
		return
	}
	m.record.note("part %s (%d tokens) is saved to %s", p[1], tokens, s.name)
	go func() {
		time.Sleep(moveTime(tokens))
		s.complete(p)
	}()
}
