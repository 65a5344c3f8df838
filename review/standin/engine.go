package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// model is the model that all engines run.
const model = "daka510000"

// part is a part of a prompt in an engine's memory, and the request that made it.
type part struct{ tenant, attempt string }

// engine is the memory of a stand-in of a model engine. It finds parts only under the text that the request carries.
type engine struct {
	mu     sync.Mutex
	parts  map[string]part
	events [][]any
	// onUse is called for each part that a request uses and another one made.
	onUse func(x *server, q *http.Request, id string, made part)
}

const engineModels = `[{"name":"` + model + `","version":1,"adapters":[]}]`

// serve answers requests and the calls of control replicas.
func (e *engine) serve(x *server, w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/v1/report":
		fmt.Fprintf(w, `{"stage":"combined","models":%s,"busy":false,"sequence":0,"queued":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0,"clock_ms":%d}`, engineModels, time.Now().UnixMilli())
	case names["events"]:
		e.serveEvents(x, w, q)
	case names["list"]:
		e.serveList(x, w)
	default:
		e.run(x, w, q)
	}
}

func (e *engine) serveEvents(x *server, w http.ResponseWriter, q *http.Request) {
	since, _ := strconv.Atoi(q.URL.Query().Get("since"))
	deadline := time.Now().Add(800 * time.Millisecond)
	for {
		e.mu.Lock()
		fresh := append([][]any{}, e.events[min(since, len(e.events)):]...)
		next := len(e.events)
		e.mu.Unlock()
		if len(fresh) > 0 || time.Now().After(deadline) {
			writeJSON(w, map[string]any{"boot_epoch": x.born, "next": next, "lost": false, "events": fresh, "clock_ms": time.Now().UnixMilli()})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (e *engine) serveList(x *server, w http.ResponseWriter) {
	e.mu.Lock()
	held := [][]any{}
	for _, v := range e.events {
		held = append(held, v[2:])
	}
	next := len(e.events)
	e.mu.Unlock()
	writeJSON(w, map[string]any{"boot_epoch": x.born, "next": next, "held": held, "clock_ms": time.Now().UnixMilli()})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// run streams an answer after it has taken what it finds of the prompt from memory, and kept the rest.
func (e *engine) run(x *server, w http.ResponseWriter, q *http.Request) {
	id, tenant, salt := q.Header.Get(names["attempt"]), q.Header.Get("Tenant"), q.Header.Get(names["salt"])
	h := w.Header()
	h.Set(names["attempt"], id)
	h.Set(names["versions"], "1")
	if want := q.Header.Get(names["expect-version"]); want != "" && want != "1" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	found := true
	for _, entry := range strings.Split(q.Header.Get(names["prefix"]), ",") {
		name, size, _ := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, _ := strconv.Atoi(size)
		made, ok := e.parts[salt+" "+name]
		found = found && ok
		if found {
			e.onUse(x, q, name, made)
			continue
		}
		e.parts[salt+" "+name] = part{tenant, id}
		e.events = append(e.events, []any{len(e.events) + 1, "+", salt, name, tokens, model})
	}
	e.mu.Unlock()
	h.Set(names["stamp"], "3e1b.07")
	h.Set("Content-Type", "text/event-stream")
	for n := range 5 {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}
