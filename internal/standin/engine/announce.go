package engine

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"hornbeamwood/internal/standin/backend"
)

type announcement struct {
	Identity      string     `json:"identity"`
	Incarnation   int64      `json:"incarnation"`
	Sequence      uint64     `json:"sequence"`
	Zone          string     `json:"zone"`
	Address       string     `json:"address"`
	Kind          string     `json:"kind"`
	State         string     `json:"state"`
	Holdings      []holding  `json:"holdings"`
	Role          string     `json:"role,omitempty"`
	ChecksFencing bool       `json:"checks-fencing"`
	LastOrder     string     `json:"last-order,omitempty"`
	UptimeMillis  int64      `json:"uptime-millis"`
	Load          loadReport `json:"load"`
}

type holding struct {
	Model         string `json:"model"`
	WeightVersion string `json:"weight-version"`
}

type loadReport struct {
	Sequence     uint64  `json:"sequence"`
	AgeMillis    int64   `json:"age-millis"`
	Running      int     `json:"running"`
	QueuedTokens int64   `json:"queued-tokens"`
	PrefillRate  float64 `json:"prefill-rate"`
	DecodeRate   float64 `json:"decode-rate"`
	MaxRunning   int     `json:"max-running"`
	CachePieces  int     `json:"cache-pieces"`
	FreePieces   int     `json:"free-pieces"`

	at time.Time
}

type eventBatch struct {
	Identity    string       `json:"identity"`
	Incarnation int64        `json:"incarnation"`
	First       int          `json:"first,omitempty"`
	Events      []cacheEvent `json:"events,omitempty"`
	Listing     *listing     `json:"listing,omitempty"`
}

type listing struct {
	Sequence int      `json:"sequence"`
	Part     int      `json:"part"`
	Parts    int      `json:"parts"`
	Keys     []string `json:"keys"`
}

type eventAnswer struct {
	ListingWanted bool `json:"listing-wanted"`
}

const (
	eventInterval  = 50 * time.Millisecond
	maxBatchEvents = 1024
	maxListingKeys = 4096
)

// Announcement implements Engine.
func (e *engine) Announcement(sequence uint64) any {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.leaving {
		state = "leaving"
	}
	return announcement{
		Identity:      e.config.Identity,
		Incarnation:   e.config.Started.UnixNano(),
		Sequence:      sequence,
		Zone:          e.config.Zone,
		Address:       e.config.Address,
		Kind:          "engine",
		State:         state,
		Holdings:      e.holdings(),
		Role:          e.role,
		ChecksFencing: e.config.ChecksFencing,
		LastOrder:     e.lastOrder,
		UptimeMillis:  time.Since(e.config.Started).Milliseconds(),
		Load:          e.delayedLoad(sequence),
	}
}

func (e *engine) holdings() []holding {
	all := make([]holding, 0, len(e.versions))
	for m, v := range e.versions {
		all = append(all, holding{Model: m, WeightVersion: v})
	}
	slices.SortFunc(all, func(a, b holding) int { return cmp.Compare(a.Model, b.Model) })
	return all
}

// delayedLoad measures the load and returns the newest measurement that is at least as old as ReportLag.
func (e *engine) delayedLoad(sequence uint64) loadReport {
	now := time.Now()
	e.loads = append(e.loads, loadReport{
		Sequence:     sequence,
		Running:      e.running,
		QueuedTokens: e.queuedTokens,
		PrefillRate:  e.config.PrefillRate,
		DecodeRate:   e.config.DecodeRate,
		MaxRunning:   e.config.MaxRunning,
		CachePieces:  e.config.CachePieces,
		FreePieces:   e.config.CachePieces - e.cache.order.Len(),
		at:           now,
	})
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= e.config.ReportLag {
		e.loads = e.loads[1:]
	}
	l := e.loads[0]
	l.AgeMillis = now.Sub(l.at).Milliseconds()
	return l
}

// SendEvents implements Engine.
func (e *engine) SendEvents(ctx context.Context, a backend.Announcer) {
	t := time.NewTicker(max(eventInterval, e.config.EventLag))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if b, ok := e.nextBatch(); ok {
			e.post(ctx, a, b)
		}
	}
}

// nextBatch returns the next events, and whether to send them. A lost batch is skipped as if the network had dropped it.
func (e *engine) nextBatch() (eventBatch, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.cache
	n := min(len(c.events)-c.sent, maxBatchEvents)
	if n == 0 {
		return eventBatch{}, false
	}
	b := eventBatch{
		Identity:    e.config.Identity,
		Incarnation: e.config.Started.UnixNano(),
		First:       c.sent + 1,
		Events:      c.events[c.sent : c.sent+n : c.sent+n],
	}
	c.sent += n
	return b, e.random.Float64() >= e.config.EventLoss
}

func (e *engine) post(ctx context.Context, a backend.Announcer, b eventBatch) {
	answer, err := a.Post(ctx, backend.CacheEventsPath, b)
	if err != nil {
		return
	}
	var w eventAnswer
	if err := json.Unmarshal(answer, &w); err != nil || !w.ListingWanted {
		return
	}
	for _, l := range e.listings() {
		if _, err := a.Post(ctx, backend.CacheEventsPath, l); err != nil {
			return
		}
	}
}

func (e *engine) listings() []eventBatch {
	e.mu.Lock()
	keys, sequence := e.cache.keys(), len(e.cache.events)
	e.mu.Unlock()
	parts := max(1, (len(keys)+maxListingKeys-1)/maxListingKeys)
	all := make([]eventBatch, 0, parts)
	for i := range parts {
		from, to := i*maxListingKeys, min((i+1)*maxListingKeys, len(keys))
		all = append(all, eventBatch{
			Identity:    e.config.Identity,
			Incarnation: e.config.Started.UnixNano(),
			Listing:     &listing{Sequence: sequence, Part: i + 1, Parts: parts, Keys: keys[from:to]},
		})
	}
	return all
}
