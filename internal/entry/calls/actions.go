package calls

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/ledger"
	"hornbeamwood/internal/entry/operator"
)

// maxBody bounds the body of a resolution.
const maxBody = 16 << 10

// Log is the control log.
type Log interface {
	// Propose commits a section's command.
	Propose(ctx context.Context, section string, body []byte) ([]byte, error)
	// Read returns the answer to a section's query.
	Read(ctx context.Context, section string, body []byte) ([]byte, error)
}

// Resolution is the body of POST /ledger/resolve.
type Resolution struct {
	// Workspace, Service and Key identify the call.
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Key       string `json:"key"`
	// Verdict is ran or not-run; after not-run the key may be used again.
	Verdict verdict.Verdict `json:"verdict"`
}

type actions struct {
	log Log
}

// Actions returns the operator requests GET /ledger/unknown and POST /ledger/resolve.
func Actions(l Log) []operator.Action {
	a := &actions{log: l}
	return []operator.Action{
		{Pattern: "GET /ledger/unknown", Run: a.unknown},
		{Pattern: "POST /ledger/resolve", Run: a.resolve},
	}
}

func (a *actions) unknown(w http.ResponseWriter, r *http.Request, _ string) error {
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	q, err := codec.Marshal(ledger.Query{Unknown: &ledger.UnknownsQuery{Workspace: r.URL.Query().Get("workspace"), Limit: limit}})
	if err != nil {
		return err
	}
	b, err := a.log.Read(r.Context(), ledger.Name, q)
	if err != nil {
		return err
	}
	u, err := codec.Unmarshal[ledger.Unknowns](b)
	if err != nil {
		return err
	}
	return operator.WriteJSON(w, http.StatusOK, u)
}

func (a *actions) resolve(w http.ResponseWriter, r *http.Request, name string) error {
	var x Resolution
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&x); err != nil {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "malformed-body", "the body is not a resolution: %v", err)
	}
	if x.Verdict == verdict.MayHaveRun {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "bad-verdict", "verdict is ran or not-run")
	}
	c, err := codec.Marshal(ledger.Command{Resolve: &ledger.Resolve{
		Scope:    ledger.Scope{Workspace: x.Workspace, Service: x.Service, Key: x.Key},
		Ran:      x.Verdict == verdict.Ran,
		Operator: name,
	}})
	if err != nil {
		return err
	}
	b, err := a.log.Propose(r.Context(), ledger.Name, c)
	if err != nil {
		return err
	}
	result, err := codec.Unmarshal[ledger.Result](b)
	if err != nil {
		return err
	}
	return writeResult(w, result.Kind)
}

func writeResult(w http.ResponseWriter, k ledger.Kind) error {
	switch k {
	case ledger.Done:
		w.WriteHeader(http.StatusNoContent)
		return nil
	case ledger.Absent:
		return verdict.New(verdict.NotRun, http.StatusNotFound, "no-call", "no call is recorded under this workspace, service and key")
	}
	return verdict.New(verdict.NotRun, http.StatusConflict, "not-unknown", "the call's outcome is not unknown; nothing was changed")
}
