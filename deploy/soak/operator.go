package main

import (
	"context"
	"encoding/json"
	"errors"
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
	controls     []string
	record       *record
	orders       *orders
	mu           sync.Mutex
	lastRevision int
	acknowledged int
	// changedAt is when a document was last sent, or acknowledged.
	changedAt time.Time
	// growth is the random source for the growth of the document, separate from the other random sources of a seed.
	growth      *rand.Rand
	extraRoutes int
}

// changeBound is how long a change may take until it is acknowledged, whatever single fault the replicas have.
const changeBound = recoveryBound

const (
	// maxGrowth bounds the routes that one change adds, maxExtraRoutes those of a document.
	maxGrowth      = 1400
	maxExtraRoutes = 6000
)

// nextDocument returns the revision of the next document and the number of its unused routes.
func (o *operator) nextDocument(r *rand.Rand) (revision, extraRoutes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastRevision += 1 + r.IntN(3)
	if o.growth.IntN(3) == 0 {
		o.extraRoutes = min(maxExtraRoutes, o.extraRoutes+o.growth.IntN(maxGrowth))
	}
	return o.lastRevision, o.extraRoutes
}

// document returns the document with the given revision.
func (o *operator) document(revision, extraRoutes int) string {
	var extras strings.Builder
	for i := range extraRoutes {
		fmt.Fprintf(&extras, `{"name":"extra-%d","host":"extra%d","path_prefix":"/%x/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":100,"service":"desk","max_attempts":1},`, i, i%40, i*104729)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s
{"name":"read","host":"soak","path_prefix":"/read/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":100,"service":"desk","max_attempts":2},
{"name":"once","host":"soak","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":100,"service":"desk","max_attempts":1},
{"name":"stream","host":"soak","path_prefix":"/stream/","kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,"service":"desk","max_attempts":2,"resumable":true,"gap_target_ms":300},
{"name":"prompt","host":"soak","path_prefix":"/prompt/","kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,"service":"writer","max_attempts":2,"resumable":true,"sticky":true,"gap_target_ms":500},
{"name":"n","host":"soak","path_prefix":"/n%d/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":100,"service":"desk","max_attempts":1}],
"services":[{"name":"desk","max_connections":200,"cold_start_s":%d,"cold_per_s":%d},{"name":"writer","max_connections":200,"cold_start_s":%d,"cold_per_s":%d,"engine":{"slots":8,"kv_capacity_tokens":90000,"kv_token_bytes":35136,"link_mbps":100000,"managed":true,"stride":1,"max_concurrent":12,"models":[{"name":"m"}]}}],"limits":{},"tenants":[{"name":"t1","api_keys":["k1"]},{"name":"t2","api_keys":["k2"]}]}`, revision, extras.String(), revision, coldTime/time.Second, coldRate, coldTime/time.Second, coldRate)
}

// putDocument sends the next document until a replica acknowledges it, or changeBound has passed.
func (o *operator) putDocument(ctx context.Context, r *rand.Rand) bool {
	ctx, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	revision, extraRoutes := o.nextDocument(r)
	body := o.document(revision, extraRoutes)
	o.recordChange()
	defer o.recordChange()
	for ctx.Err() == nil {
		control := o.controls[r.IntN(len(o.controls))]
		switch status := post(ctx, "http://"+control+":8000/v1/Config.Put", body, 1500*time.Millisecond); status {
		case http.StatusOK:
			o.mu.Lock()
			o.acknowledged = max(o.acknowledged, revision)
			o.mu.Unlock()
			return true
		case http.StatusBadRequest:
			o.record.reportViolation("a valid document was refused: %d", revision)
			return false
		}
		sleep(ctx, 100*time.Millisecond)
	}
	o.reportUnacknowledged(ctx, fmt.Sprint("document ", revision))
	return false
}

func (o *operator) recordChange() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changedAt = time.Now()
}

// lastChange returns when a document was last sent or acknowledged.
func (o *operator) lastChange() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changedAt
}

// reportUnacknowledged reports a change that was not acknowledged in time, unless the run was ended.
func (o *operator) reportUnacknowledged(ctx context.Context, change string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		o.record.reportViolation("%s was not acknowledged for %s", change, changeBound)
	}
}

// setVersion sends a new weight version until a replica acknowledges it, or changeBound has passed.
func (o *operator) setVersion(ctx context.Context, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	version := o.orders.newestVersion() + 1
	for ctx.Err() == nil {
		control := o.controls[r.IntN(len(o.controls))]
		body := fmt.Sprintf(`{"model":%q,"version":%d}`, model, version)
		if post(ctx, "http://"+control+":8000/v1/version-put", body, 1500*time.Millisecond) == http.StatusOK {
			o.orders.mu.Lock()
			o.orders.acknowledged = max(o.orders.acknowledged, version)
			o.orders.mu.Unlock()
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
	o.reportUnacknowledged(ctx, fmt.Sprint("weight version ", version))
}

// readDocument reads the document from one replica. It must not be older than what was acknowledged before.
func (o *operator) readDocument(ctx context.Context, control string) (int, bool) {
	o.mu.Lock()
	acknowledged := o.acknowledged
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+":8000/v1/Config.Get", nil)
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
		o.record.reportViolation("a read from %s returned no document: %v", control, err)
		return 0, false
	}
	if d.Version < acknowledged {
		o.record.reportViolation("a read from %s returned %d after %d was acknowledged", control, d.Version, acknowledged)
	}
	return d.Version, true
}

// pollDocuments reads from each replica in turn until ctx ends.
func (o *operator) pollDocuments(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		o.readDocument(ctx, o.controls[i%len(o.controls)])
		sleep(ctx, 150*time.Millisecond)
	}
}
