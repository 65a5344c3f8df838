package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"hornbeamwood/internal/standin/backend"
)

type order struct {
	ID            string `json:"id"`
	Fencing       uint64 `json:"fencing"`
	Kind          string `json:"kind"`
	Model         string `json:"model"`
	WeightVersion string `json:"weight-version"`
	Adapter       string `json:"adapter"`
	Role          string `json:"role"`
}

type orderState struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Message string `json:"message,omitempty"`
}

type oldFencing struct {
	Error   any    `json:"error"`
	Fencing uint64 `json:"fencing"`
}

// acceptOrder executes each order ID once; a retry gets the state of the first.
func (e *engine) acceptOrder(w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(io.LimitReader(q.Body, maxBodyBytes)).Decode(&o); err != nil || o.ID == "" {
		backend.WriteError(w, http.StatusBadRequest, true, "malformed", "the order is malformed")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.orders[o.ID]; ok {
		backend.WriteJSON(w, http.StatusOK, *s)
		return
	}
	if e.leaving {
		backend.WriteError(w, http.StatusServiceUnavailable, true, "leaving", "the engine is leaving")
		return
	}
	if e.config.ChecksFencing && o.Fencing < e.fencing {
		backend.WriteJSON(w, http.StatusConflict, oldFencing{Error: map[string]string{"code": "old-fencing", "message": "a higher fencing number was seen"}, Fencing: e.fencing})
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	s := &orderState{ID: o.ID, State: "running"}
	e.orders[o.ID] = s
	e.goroutines.Go(func() { e.execute(o, s) })
	backend.WriteJSON(w, http.StatusOK, *s)
}

func (e *engine) getOrder(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.orders[q.PathValue("id")]
	if !ok {
		backend.WriteError(w, http.StatusNotFound, true, "unknown-order", "the order is unknown")
		return
	}
	backend.WriteJSON(w, http.StatusOK, *s)
}

func (e *engine) execute(o order, s *orderState) {
	var err error
	if o.Kind == "load-weights" {
		err = e.loadWeights(o.Model, o.WeightVersion)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastOrder = o.ID
	if err != nil {
		s.State, s.Message = "failed", err.Error()
		return
	}
	s.State = "done"
	switch o.Kind {
	case "load-weights":
		e.versions[o.Model] = o.WeightVersion
		e.cache.clear()
	case "unload-weights":
		delete(e.versions, o.Model)
	case "set-role":
		e.role = o.Role
	}
}

func (e *engine) loadWeights(model, version string) error {
	if e.config.WeightStore == "" {
		return nil
	}
	q, err := http.NewRequestWithContext(e.ctx, http.MethodGet, fmt.Sprintf("%s/weights/%s/%s", e.config.WeightStore, model, version), nil)
	if err != nil {
		return err
	}
	a, err := e.client.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store answered %d", a.StatusCode)
	}
	_, err = io.Copy(io.Discard, a.Body)
	return err
}
