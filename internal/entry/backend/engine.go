package backend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/fleet/orders"
)

// ErrOldFencing reports that an engine refused an order because it has seen a higher fencing number.
var ErrOldFencing = errors.New("backend: the engine has seen a higher fencing number")

// ErrUnknownOrder reports that an engine does not know an order.
var ErrUnknownOrder = errors.New("backend: the engine does not know the order")

// Export is a request to an engine to write pieces to stores.
type Export struct {
	// WeightVersion is the weight version that the pieces were computed with.
	WeightVersion string `json:"weight-version"`
	// DeadlineMillis is the time limit for the engine.
	DeadlineMillis int64 `json:"deadline-millis"`
	// Pieces lists the pieces and their target stores.
	Pieces []ExportPiece `json:"pieces"`
}

// ExportPiece is one piece to write.
type ExportPiece struct {
	// Key identifies the piece.
	Key block.Key `json:"key"`
	// Store is the store's address.
	Store string `json:"store"`
	// Tier is the part of the store, "memory" or "disk".
	Tier string `json:"tier"`
}

// ExportState is the outcome of the export of one piece.
type ExportState string

// States of an exported piece.
const (
	ExportSealed  ExportState = "sealed"
	ExportPresent ExportState = "present"
	ExportMissing ExportState = "missing"
	ExportFull    ExportState = "full"
	ExportFailed  ExportState = "failed"
)

// ExportResult is the result of the export of one piece.
type ExportResult struct {
	// Key identifies the piece.
	Key block.Key `json:"key"`
	// Store is the store's address.
	Store string `json:"store"`
	// State is the outcome.
	State ExportState `json:"state"`
	// Generation is the generation at the store, for sealed and present pieces.
	Generation uint64 `json:"generation,omitempty"`
	// Bytes is the size in bytes, for sealed and present pieces.
	Bytes int64 `json:"bytes,omitempty"`
}

// ExportResults is an engine's response to an Export.
type ExportResults struct {
	// Results holds one result for each piece.
	Results []ExportResult `json:"results"`
}

// Engine sends orders and exports to engines. Its errors carry a verdict.
type Engine interface {
	// Order sends an order to the engine at address. Orders are idempotent: a resend has no further effect.
	Order(ctx context.Context, address string, o orders.Order) (orders.Answer, error)
	// ReadOrder returns the state of an order. The error wraps ErrUnknownOrder when the engine does not know the order.
	ReadOrder(ctx context.Context, address, id string) (orders.Answer, error)
	// Export requests that pieces be written to stores and waits for the results.
	Export(ctx context.Context, address string, e Export) (ExportResults, error)
}

type engine struct {
	client *http.Client
}

// NewEngine returns an Engine that uses the given client, which must not follow redirects.
func NewEngine(c *http.Client) Engine {
	return &engine{client: c}
}

// Order implements Engine.
func (e *engine) Order(ctx context.Context, address string, o orders.Order) (orders.Answer, error) {
	a, err := call[orders.Answer](ctx, e.client, http.MethodPost, "http://"+address+"/v1/orders", o)
	return checkOrder(a, o.ID, err)
}

// ReadOrder implements Engine.
func (e *engine) ReadOrder(ctx context.Context, address, id string) (orders.Answer, error) {
	target := "http://" + address + "/v1/orders/" + url.PathEscape(id)
	a, err := call[orders.Answer](ctx, e.client, http.MethodGet, target, nil)
	return checkOrder(a, id, err)
}

// checkOrder rejects an answer for another order. If it were accepted, a load of weights that
// never began would count as ended.
func checkOrder(a orders.Answer, id string, err error) (orders.Answer, error) {
	if err != nil {
		return orders.Answer{}, err
	}
	known := a.State == orders.Running || a.State == orders.Done || a.State == orders.Failed
	if a.ID != id || !known {
		return orders.Answer{}, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "bad-answer", "the engine answered for order %q in state %q", a.ID, a.State)
	}
	return a, nil
}

// Export implements Engine.
func (e *engine) Export(ctx context.Context, address string, x Export) (ExportResults, error) {
	r, err := call[ExportResults](ctx, e.client, http.MethodPost, "http://"+address+"/v1/cache/exports", x)
	if err != nil {
		return ExportResults{}, err
	}
	for i := range r.Results {
		if err := r.Results[i].check(x); err != nil {
			return ExportResults{}, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "bad-answer", "the engine's answer is wrong").WithCause(err)
		}
	}
	return r, nil
}

// check returns an error when the result is for a piece that x did not request,
// or when a sealed or present piece lacks its generation or size.
func (r ExportResult) check(x Export) error {
	sealed := r.State == ExportSealed || r.State == ExportPresent
	if sealed && (r.Generation == 0 || r.Bytes <= 0) {
		return fmt.Errorf("backend: piece %s is %s without generation or size", r.Key, r.State)
	}
	for _, p := range x.Pieces {
		if p.Key == r.Key && p.Store == r.Store {
			return nil
		}
	}
	return fmt.Errorf("backend: piece %s at %s was not requested", r.Key, r.Store)
}
