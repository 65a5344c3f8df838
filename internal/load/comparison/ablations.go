package comparison

import (
	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/policy/route"
)

// Ablations returns the policy with each of its elements switched off once.
func Ablations() []model.Contender {
	var all []model.Contender
	for _, p := range route.DefaultElements() {
		if name := p.Element.Name(); !essential[name] {
			all = append(all, Policy("without "+name, name))
		}
	}
	exports := Policy("exports all")
	exports.Exports = model.ExportAll
	none := Policy("exports none")
	none.Exports = model.ExportNone
	open := Policy("without admission")
	open.Admission = false
	unfair := Policy("without fair queueing")
	unfair.Fair = false
	worthless := Policy("without worth in admission")
	worthless.Worthless = true
	return append(all, exports, none, open, unfair, worthless)
}

// essential elements give the estimate its base; without them there is nothing to measure.
var essential = map[string]bool{route.ReportedQueue: true, route.EngineMemory: true}
