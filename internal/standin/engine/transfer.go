package engine

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"hornbeamwood/internal/standin/backend"
)

type exportBody struct {
	WeightVersion  string        `json:"weight-version"`
	DeadlineMillis int64         `json:"deadline-millis"`
	Pieces         []exportPiece `json:"pieces"`
}

type exportPiece struct {
	Key   string `json:"key"`
	Store string `json:"store"`
	Tier  string `json:"tier"`
}

type exportAnswer struct {
	Results []exportResult `json:"results"`
}

type exportResult struct {
	Key        string `json:"key"`
	Store      string `json:"store"`
	State      string `json:"state"`
	Generation uint64 `json:"generation,omitempty"`
	Bytes      int    `json:"bytes,omitempty"`
}

// importPieces fetches the pieces that the entry named. A piece that is incomplete or corrupt is computed instead.
func (e *engine) importPieces(r *run) transferred {
	t := transferred{Failed: []string{}}
	for _, i := range r.body.Transfer.Imports {
		e.mu.Lock()
		held := e.cache.has(i.Key)
		e.mu.Unlock()
		if held {
			continue
		}
		n, err := e.importPiece(r, i)
		if err != nil {
			t.Failed = append(t.Failed, i.Key)
			continue
		}
		t.ImportedBytes += n
		t.ImportedTokens += r.body.Transfer.PieceTokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.ImportedBytes += t.ImportedBytes
	return t
}

func (e *engine) importPiece(r *run, i importSource) (int, error) {
	q, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+i.Store+"/pieces/"+i.Key, nil)
	if err != nil {
		return 0, err
	}
	q.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(i.Generation, 10)))
	a, err := e.client.Do(q)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxBodyBytes))
	if err != nil {
		return 0, err
	}
	if a.StatusCode != http.StatusOK || a.Header.Get("Content-Digest") != contentDigest(b) {
		return 0, fmt.Errorf("store answered %d", a.StatusCode)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !bytes.Equal(b, content(i.Key, len(b))) {
		e.report.WrongPieces++
	}
	e.cache.insert(i.Key)
	return len(b), nil
}

func (e *engine) export(w http.ResponseWriter, q *http.Request) {
	var x exportBody
	if err := json.NewDecoder(io.LimitReader(q.Body, maxBodyBytes)).Decode(&x); err != nil {
		backend.WriteError(w, http.StatusBadRequest, true, "malformed", err.Error())
		return
	}
	a := exportAnswer{Results: []exportResult{}}
	for _, p := range x.Pieces {
		a.Results = append(a.Results, e.exportPiece(q, p))
	}
	backend.WriteJSON(w, http.StatusOK, a)
}

func (e *engine) exportPiece(q *http.Request, p exportPiece) exportResult {
	r := exportResult{Key: p.Key, Store: p.Store}
	e.mu.Lock()
	held := e.cache.has(p.Key)
	e.mu.Unlock()
	if !held {
		r.State = "missing"
		return r
	}
	b := content(p.Key, e.config.PieceBytes)
	u, err := http.NewRequestWithContext(q.Context(), http.MethodPut, "http://"+p.Store+"/pieces/"+p.Key+"?tier="+p.Tier, bytes.NewReader(b))
	if err != nil {
		r.State = "failed"
		return r
	}
	u.Header.Set("Content-Digest", contentDigest(b))
	u.Header.Set("If-None-Match", "*")
	a, err := e.client.Do(u)
	if err != nil {
		r.State = "failed"
		return r
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	r.State = exportState(a.StatusCode)
	r.Generation, _ = strconv.ParseUint(strings.Trim(a.Header.Get("ETag"), `"`), 10, 64)
	r.Bytes = len(b)
	return r
}

func exportState(status int) string {
	switch status {
	case http.StatusCreated, http.StatusOK:
		return "sealed"
	case http.StatusPreconditionFailed:
		return "present"
	case http.StatusInsufficientStorage:
		return "full"
	}
	return "failed"
}

func contentDigest(b []byte) string {
	d := sha256.Sum256(b)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(d[:]) + ":"
}
