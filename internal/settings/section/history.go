package section

// Bounds of what is kept; all replicas must have the same, so they are no settings.
const (
	// maxRecords is the number of accepted edits that the history keeps.
	maxRecords = 8192
	// maxEffects is the number of differences that the history keeps; the newest edit stays whatever its size.
	maxEffects = 1 << 16
	// maxRejected is the number of edits without effect whose first outcome is kept.
	maxRejected = 1024
)

// rejection is the first outcome of an edit that changed nothing.
type rejection struct {
	ID      string   `cbor:"id"`
	Digest  [32]byte `cbor:"digest"`
	Outcome Outcome  `cbor:"outcome"`
}

// history keeps the newest accepted edits in order, and the newest rejected ones.
type history struct {
	records  []Record
	effects  int
	rejected []rejection
	byID     map[string]remembered
}

// remembered is what a resend is compared with and answered by.
type remembered struct {
	digest  [32]byte
	outcome Outcome
}

func newHistory(records []Record, rejected []rejection) *history {
	h := &history{byID: map[string]remembered{}}
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
	h.byID[r.ID] = remembered{digest: r.Digest, outcome: r.Outcome()}
	for len(h.records) > maxRecords || (h.effects > maxEffects && len(h.records) > 1) {
		h.effects -= len(h.records[0].Effects)
		delete(h.byID, h.records[0].ID)
		h.records = h.records[1:]
	}
}

func (h *history) reject(r rejection) {
	h.rejected = append(h.rejected, r)
	h.byID[r.ID] = remembered{digest: r.Digest, outcome: r.Outcome}
	if len(h.rejected) > maxRejected {
		delete(h.byID, h.rejected[0].ID)
		h.rejected = h.rejected[1:]
	}
}

// after returns the records above revision, and false when the history no longer has all of them.
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

// winner returns the edit that was accepted on top of base.
func (h *history) winner(base uint64) *Winner {
	records, ok := h.after(base)
	if !ok || len(records) == 0 {
		return &Winner{Revision: base + 1}
	}
	return records[0].Winner()
}
