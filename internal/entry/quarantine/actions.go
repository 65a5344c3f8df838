package quarantine

import (
	"encoding/json"
	"net/http"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
	section "hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/entry/operator"
	"hornbeamwood/internal/policy/suspicion"
)

// maxBody is the maximum size of a request body in bytes.
const maxBody = 4 << 10

// Clearance is the body of POST /quarantine/clear.
type Clearance struct {
	// Fingerprint identifies the request, as listed by GET /quarantine.
	Fingerprint string `json:"fingerprint"`
}

type actions struct {
	log Log
}

// Actions returns the operator requests GET /quarantine and POST /quarantine/clear.
func Actions(l Log) []operator.Action {
	a := &actions{log: l}
	return []operator.Action{
		{Pattern: "GET /quarantine", Run: a.list},
		{Pattern: "POST /quarantine/clear", Run: a.clear},
	}
}

func (a *actions) list(w http.ResponseWriter, r *http.Request, _ string) error {
	q, err := codec.Marshal(section.Query{List: &section.List{Workspace: r.URL.Query().Get("workspace")}})
	if err != nil {
		return err
	}
	b, err := a.log.Read(r.Context(), section.Name, q)
	if err != nil {
		return err
	}
	l, err := codec.Unmarshal[section.Listing](b)
	if err != nil {
		return err
	}
	return operator.WriteJSON(w, http.StatusOK, l)
}

func (a *actions) clear(w http.ResponseWriter, r *http.Request, name string) error {
	var c Clearance
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "malformed-body", "the body is not a clearance: %v", err)
	}
	f, ok := suspicion.Parse(c.Fingerprint)
	if !ok {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "bad-fingerprint", "fingerprint is not one of 64 hexadecimal digits")
	}
	b, err := codec.Marshal(section.Command{Clear: &section.Clear{Fingerprint: f, Operator: name}})
	if err != nil {
		return err
	}
	if _, err := a.log.Propose(r.Context(), section.Name, b); err != nil {
		return err
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}
