package section

// Bounds of the history. They must be equal on all replicas, so they are not settings.
const (
	// maxRecords is the maximum number of accepted edits in the history.
	maxRecords = 8192
	// maxEffects is the maximum number of differences in the history; the newest edit is always kept.
	maxEffects = 1 << 16
	// maxRejected is the maximum number of rejected edits whose first outcome is kept.
	maxRejected = 1024
)

// rejection is the first outcome of an edit that was not accepted.
type rejection struct {
	ID      string   `cbor:"id"`
	Digest  [32]byte `cbor:"digest"`
	Outcome Outcome  `cbor:"outcome"`
}

// history keeps the newest accepted edits and the newest rejected ones, each in order.
type history struct {
	records  []Record
	effects  int
	rejected []rejection
	byID     map[string]storedOutcome
}

// storedOutcome is the digest that a resent edit is compared with, and the outcome that answers it.
type storedOutcome struct {
	digest  [32]byte
	outcome Outcome
}

func newHistory(records []Record, rejected []rejection) *history {
	h := &history{byID: map[string]storedOutcome{}}
	for _, r := range records {
		h.accept(r)
	}
	for _, r := range rejected {
		h.reject(r)
	}
	return h
}

func (h *history) accept(r Record) {
	h.records = append(h.records, r)
	h.effects += len(r.Effects)
	h.byID[r.ID] = storedOutcome{digest: r.Digest, outcome: r.Outcome()}
	for len(h.records) > maxRecords || (h.effects > maxEffects && len(h.records) > 1) {
		h.effects -= len(h.records[0].Effects)
		delete(h.byID, h.records[0].ID)
		h.records = h.records[1:]
	}
}

func (h *history) reject(r rejection) {
	h.rejected = append(h.rejected, r)
	h.byID[r.ID] = storedOutcome{digest: r.Digest, outcome: r.Outcome}
	if len(h.rejected) > maxRejected {
		delete(h.byID, h.rejected[0].ID)
		h.rejected = h.rejected[1:]
	}
}

// after returns the records with higher revisions, and false if the history no longer has all of them.
func (h *history) after(revision uint64) ([]Record, bool) {
	if len(h.records) == 0 {
		return nil, true
	}
	first := h.records[0].Revision
	if revision+1 < first {
		return nil, false
	}
	skip := min(revision+1-first, uint64(len(h.records)))
	return h.records[skip:], true
}

// winner returns the edit that was accepted with base as its base revision.
func (h *history) winner(base uint64) *Winner {
	records, ok := h.after(base)
	if !ok || len(records) == 0 {
		return &Winner{Revision: base + 1}
	}
	return records[0].Winner()
}
