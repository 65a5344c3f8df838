package sitecontrol

import (
	"fmt"
	"testing"

	"hornbeamwood/internal/policy/suspicion"
)

// Guards against a control process whose memory grows with each part of a prompt that was ever suspected.
func TestRowsOfClearedPartsAreBounded(t *testing.T) {
	var q quarantineRows
	rows := map[suspicion.Fingerprint]suspicion.Period{}
	put := func(f suspicion.Fingerprint, p suspicion.Period) { rows[f] = p }
	remove := func(f suspicion.Fingerprint) { delete(rows, f) }
	const batch = 4096
	kept := suspicion.FingerprintOfPart([]byte("bad"))
	for round := range 3 * maxClearedRows / batch {
		periods := map[suspicion.Fingerprint]suspicion.Period{kept: {Version: 1, Quarantined: true}}
		if round == 0 {
			periods = map[suspicion.Fingerprint]suspicion.Period{}
		}
		for i := range batch {
			periods[suspicion.FingerprintOfPart(fmt.Append(nil, round, "-", i))] = suspicion.Period{Suspected: true}
		}
		q.update(uint64(2*round), periods, put, remove)
		q.update(uint64(2*round+1), map[suspicion.Fingerprint]suspicion.Period{kept: periods[kept]}, put, remove)
		for f := range periods {
			if p, ok := rows[f]; !ok || f != kept && p.Suspected {
				t.Fatalf("round %d: a row doesn't say that its part was cleared just now", round)
			}
		}
	}
	if len(rows) > maxClearedRows+batch {
		t.Errorf("%d rows are kept", len(rows))
	}
	if !rows[kept].Quarantined {
		t.Error("the row of a part that is quarantined was removed")
	}
}
