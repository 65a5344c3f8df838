package cell

import (
	"cmp"
	"slices"
	"time"

	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/fleet/membership"
)

// Digest is a summary of the load of one cell for the other cells.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// Cell is the name of the cell.
	Cell string
	// Version increases with each Digest of one entry.
	Version uint64
	// Models has one row for each model and weight version that the cell serves.
	Models []ModelDigest
}

// ModelDigest is the capacity of one cell for one model and weight version.
type ModelDigest struct {
	_             struct{} `cbor:",toarray"`
	Model         string
	WeightVersion string
	// Engines is the number of engines that take new work.
	Engines int
	// PrefillRate is the sum of their prefill rates in tokens per second.
	PrefillRate int64
	// QueuedTokens is the sum of their queued prompt tokens.
	QueuedTokens int64
	// FreeSlots is the number of requests that can start without waiting.
	FreeSlots int
}

// Wait returns how long an average engine takes to compute its queued prompt tokens.
func (m ModelDigest) Wait() time.Duration {
	if m.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(m.QueuedTokens) / float64(m.PrefillRate) * float64(time.Second))
}

// Summarize returns the Digest of this cell's engines in view at the time now. age is the largest
// age of a report with which an engine is still given work.
func Summarize(now time.Time, cell string, version uint64, view membership.View, age time.Duration) Digest {
	rows := map[announcement.Holding]*ModelDigest{}
	for s := range view.All() {
		a := s.Announcement()
		for _, h := range a.Holdings {
			need := membership.Need{
				Kind:          announcement.Engine,
				Model:         h.Model,
				WeightVersion: h.WeightVersion,
				Adapter:       h.Adapter,
				Age:           age,
			}
			if h.Adapter == "" && s.Eligible(now, need) == membership.Eligible {
				addEngine(rows, h, s)
			}
		}
	}
	d := Digest{Cell: cell, Version: version}
	for _, m := range rows {
		d.Models = append(d.Models, *m)
	}
	slices.SortFunc(d.Models, func(a, b ModelDigest) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.WeightVersion, b.WeightVersion))
	})
	return d
}

func addEngine(rows map[announcement.Holding]*ModelDigest, h announcement.Holding, s *membership.Server) {
	m := rows[h]
	if m == nil {
		m = &ModelDigest{Model: h.Model, WeightVersion: h.WeightVersion}
		rows[h] = m
	}
	l, _ := s.Load()
	m.Engines++
	m.PrefillRate += int64(l.PrefillRate)
	m.QueuedTokens += l.QueuedTokens
	m.FreeSlots += max(0, l.MaxRunning-l.Running)
}

// model returns the row of a model and weight version, and false if the cell does not serve it.
func (d Digest) model(name, version string) (ModelDigest, bool) {
	for _, m := range d.Models {
		if m.Model == name && m.WeightVersion == version {
			return m, true
		}
	}
	return ModelDigest{}, false
}
