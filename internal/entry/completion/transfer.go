package completion

import (
	"encoding/json"
	"net/http"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/cache/block"
)

// transferField is the field of a completion's body that controls KV transfer at the engine.
const transferField = "kv_transfer_params"

// transfer is the value of transferField; docs/interfaces/cache.md describes its fields.
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

// withTransfer returns the caller's body with the transfer field of this entry.
//
// A field of this name in the caller's body is replaced: with it, a caller
// could import the pieces of another workspace.
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
