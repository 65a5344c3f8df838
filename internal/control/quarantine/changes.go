package quarantine

import (
	"slices"

	"hornbeamwood/internal/policy/suspicion"
)

func (q *quarantine) since(version uint64) Changes {
	if version < q.forgotten || version > q.version {
		return Changes{Version: q.version, Whole: true, Changes: q.recordsSince(0)}
	}
	return Changes{Version: q.version, Changes: q.changesSince(version)}
}

// changesSince returns the standings that changed after version, including those that became clear.
func (q *quarantine) changesSince(version uint64) []suspicion.Change {
	if version == q.version {
		return nil
	}
	changes := q.recordsSince(version)
	for _, r := range q.removals {
		if _, exists := q.records[r.Fingerprint]; r.Version > version && !exists {
			changes = append(changes, suspicion.Change{Fingerprint: r.Fingerprint, Standing: suspicion.Clear})
		}
	}
	return changes
}

func (q *quarantine) recordsSince(version uint64) []suspicion.Change {
	var changes []suspicion.Change
	for _, r := range q.records {
		if r.Version > version {
			changes = append(changes, r.change())
		}
	}
	slices.SortFunc(changes, func(a, b suspicion.Change) int { return compare(a.Fingerprint, b.Fingerprint) })
	return changes
}

func (q *quarantine) list(workspace string) Listing {
	var l Listing
	for _, f := range q.order() {
		r := q.records[f]
		listed := r.Standing == suspicion.Quarantined || r.Standing == suspicion.Suspect && r.Kind == suspicion.WholeRequest
		if listed && (workspace == "" || workspace == r.Workspace) {
			l.Items = append(l.Items, r.item())
		}
	}
	return l
}
