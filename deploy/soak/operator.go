package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// operator sends documents and reads them back.
type operator struct {
	controls []string
	record   *record
	orders   *orders
	mu       sync.Mutex
	sent     int
	acked    int
	// grows draws how the document grows, apart from what else a seed draws.
	grows *rand.Rand
	extra int
}

const (
	// maxGrowth bounds the routes that one change adds, mostExtra those of a document.
	maxGrowth = 1400
	mostExtra = 6000
)

// next returns the number of the next document and how many routes it has that nobody asks for.
func (o *operator) next(r *rand.Rand) (number, extra int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent += 1 + r.IntN(3)
	if o.grows.IntN(3) == 0 {
		o.extra = min(mostExtra, o.extra+o.grows.IntN(maxGrowth))
	}
	return o.sent, o.extra
}

// document returns the document with the given number.
func (o *operator) document(number, extra int) string {
	var more strings.Builder
	for i := range extra {
		fmt.Fprintf(&more, `{"name":"extra-%d","host":"extra%d","path_prefix":"/%x/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":100,"service":"desk","max_attempts":1},`, i, i%40, i*104729)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s
{"name":"read","host":"soak","path_prefix":"/read/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":100,"service":"desk","max_attempts":2},
{"name":"once","host":"soak","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":100,"service":"desk","max_attempts":1},
{"name":"stream","host":"soak","path_prefix":"/stream/","kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,"service":"desk","max_attempts":2,"resumable":true,"gap_target_ms":300},
{"name":"prompt","host":"soak","path_prefix":"/prompt/","kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,"service":"writer","max_attempts":2,"resumable":true,"sticky":true,"gap_target_ms":500},
{"name":"n","host":"soak","path_prefix":"/n%d/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":100,"service":"desk","max_attempts":1}],
"services":[{"name":"desk","max_connections":200},{"name":"writer","max_connections":200,"engine":{"slots":8,"kv_capacity_tokens":90000,"kv_token_bytes":35136,"link_mbps":100000,"managed":true,"stride":1,"max_concurrent":12,"models":[{"name":"m"}]}}],"limits":{},"tenants":[{"name":"t1","api_keys":["k1"]},{"name":"t2","api_keys":["k2"]}]}`, number, more.String(), number)
}

// change sends the next document until some replica acknowledges it, or ctx ends.
func (o *operator) change(ctx context.Context, r *rand.Rand) bool {
	number, extra := o.next(r)
	body := o.document(number, extra)
	for ctx.Err() == nil {
		at := o.controls[r.IntN(len(o.controls))]
		switch status := post(ctx, "http://"+at+":8000/v1/Config.Put", body, 1500*time.Millisecond); status {
		case http.StatusOK:
			o.mu.Lock()
			o.acked = max(o.acked, number)
			o.mu.Unlock()
			return true
		case http.StatusBadRequest:
			o.record.broke("a valid document was refused: %d", number)
			return false
		}
		pause(ctx, 100*time.Millisecond)
	}
	return false
}

// name names new weights until some replica acknowledges it, or ctx ends.
func (o *operator) name(ctx context.Context, r *rand.Rand) {
	version := o.orders.newest() + 1
	for ctx.Err() == nil {
		at := o.controls[r.IntN(len(o.controls))]
		body := fmt.Sprintf(`{"model":%q,"version":%d}`, model, version)
		if post(ctx, "http://"+at+":8000/v1/version-put", body, 1500*time.Millisecond) == http.StatusOK {
			o.orders.mu.Lock()
			o.orders.named = max(o.orders.named, version)
			o.orders.mu.Unlock()
			return
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// read reads from one replica; an answer must not be older than what was acknowledged before.
func (o *operator) read(ctx context.Context, at string) (int, bool) {
	o.mu.Lock()
	acked := o.acked
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+":8000/v1/Config.Get", nil)
	if err != nil {
		return 0, false
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, false
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil || a.StatusCode != http.StatusOK {
		return 0, false
	}
	var d struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(b, &d); err != nil {
		o.record.broke("a read from %s is no document: %v", at, err)
		return 0, false
	}
	if d.Version < acked {
		o.record.broke("a read from %s shows %d after %d was acknowledged", at, d.Version, acked)
	}
	return d.Version, true
}

// readAll reads from replica after replica until ctx ends.
func (o *operator) readAll(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		o.read(ctx, o.controls[i%len(o.controls)])
		pause(ctx, 150*time.Millisecond)
	}
}
