package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

const (
	// partSeparation is the least time between two losses under a part whose runs overlapped. Servers that fail
	// together do so within less.
	partSeparation = 100 * time.Millisecond
	// maxWith bounds the companions of a part.
	maxWith = 16
	// droppedShare is the share of the records of parts that are dropped together when there is no room.
	droppedShare = 8
)

// addPart records one loss of a part that r held.
func (q *quarantine) addPart(found *record, at time.Time, loss suspicion.Loss, r Running) {
	changed := found.keepWith(r.Parts)
	if found.Workspace != r.Workspace && !found.Shared {
		found.Shared, changed = true, true
	}
	loss.Began = r.Began
	if !found.concurrent(loss, at, r) && found.addLoss(loss) {
		changed = true
	}
	if changed && found.Standing == suspicion.Quarantined {
		q.touch(found, at)
	}
}

// concurrent returns whether a run is no evidence beside the other losses that are recorded, because it was already
// running when one of them came. It counts nevertheless if its server was lost apart from that one: a part may end many
// servers at a time.
func (r *record) concurrent(loss suspicion.Loss, at time.Time, run Running) bool {
	age := cmp.Or(run.RunAge, run.Age)
	if age <= 0 {
		return false
	}
	began := at.Add(-age)
	return slices.ContainsFunc(r.Losses, func(l suspicion.Loss) bool {
		apart := time.Duration(loss.At - l.At).Abs()
		return !l.Same(loss) && began.UnixNano() <= l.At && apart < partSeparation
	})
}

// keepWith keeps those companions of a part that another run held too. It returns whether some are dropped.
func (r *record) keepWith(parts []suspicion.Fingerprint) bool {
	if len(r.Losses) == 0 && r.With == nil {
		r.With = make([]suspicion.Fingerprint, 0, min(len(parts), maxWith))
		for _, p := range parts {
			if p != r.Fingerprint && len(r.With) < maxWith && !slices.Contains(r.With, p) {
				r.With = append(r.With, p)
			}
		}
		return false
	}
	before := len(r.With)
	r.With = slices.DeleteFunc(r.With, func(p suspicion.Fingerprint) bool { return !slices.Contains(parts, p) })
	return len(r.With) < before
}

// dropFromOthers removes an attribute that was answered from the companions of all parts.
func (q *quarantine) dropFromOthers(f suspicion.Fingerprint, at time.Time) {
	var others []*record
	for _, r := range q.records {
		if slices.Contains(r.With, f) {
			others = append(others, r)
		}
	}
	slices.SortFunc(others, (*record).compare)
	for _, r := range others {
		r.With = slices.DeleteFunc(r.With, func(p suspicion.Fingerprint) bool { return p == f })
		if r.Standing == suspicion.Quarantined {
			q.touch(r, at)
		}
	}
}

// makeRoom makes room for another record. It returns false if there is none.
func (q *quarantine) makeRoom(k suspicion.Kind) bool {
	if k == suspicion.WholeRequest {
		return len(q.records)-q.parts < maxRecords || q.dropOldestSuspects(k, 1)
	}
	return q.parts < maxParts || q.dropOldestSuspects(k, maxParts/droppedShare)
}

// dropOldestSuspects drops so many records that aren't quarantined. It returns false if there are none.
func (q *quarantine) dropOldestSuspects(k suspicion.Kind, count int) bool {
	suspects := slices.Collect(maps.Values(q.records))
	suspects = slices.DeleteFunc(suspects, func(r *record) bool { return r.Kind != k || r.Standing == suspicion.Quarantined })
	slices.SortFunc(suspects, (*record).compare)
	for _, r := range suspects[:min(count, len(suspects))] {
		q.remove(r.Fingerprint)
	}
	return len(suspects) > 0
}
