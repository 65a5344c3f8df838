package completion

import (
	"encoding/json"
	"net/http"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/cache/block"
)

// transferField is the field of a completion's body that engines read for KV transfer.
const transferField = "kv_transfer_params"

// transfer is the value of transferField; docs/interfaces/cache.md gives it field by field.
type transfer struct {
	WeightVersion string        `json:"weight-version"`
	PieceTokens   int           `json:"piece-tokens"`
	Keys          []block.Key   `json:"keys"`
	Imports       []importPiece `json:"imports"`
}

// importPiece is one piece that an engine reads from a store.
type importPiece struct {
	Key        block.Key `json:"key"`
	Store      string    `json:"store"`
	Generation uint64    `json:"generation"`
	Bytes      int64     `json:"bytes"`

	store       string
	incarnation uint64
}

// withTransfer returns the caller's body with the system's own transfer field.
//
// A field of that name that the caller sent is replaced: with it a caller
// could name the pieces of another workspace for import.
func withTransfer(j *job, imports []importPiece) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(j.Body, &fields); err != nil {
		return nil, verdict.New(verdict.NotRun, http.StatusBadRequest, "malformed-body", "the body is no JSON object").WithCause(err)
	}
	t := transfer{
		WeightVersion: j.Model.WeightVersion,
		PieceTokens:   j.Model.PieceTokens,
		Keys:          j.keys,
		Imports:       imports,
	}
	b, err := json.Marshal(t)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, http.StatusInternalServerError, "not-encoded", "the body could not be encoded").WithCause(err)
	}
	fields[transferField] = b
	return json.Marshal(fields)
}
