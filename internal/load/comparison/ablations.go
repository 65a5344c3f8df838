package comparison

import (
	"hornbeamwood/internal/load/model"
	"hornbeamwood/internal/policy/route"
)

// Ablations returns the policy with one element disabled at a time.
func Ablations() []model.Variant {
	var all []model.Variant
	for _, p := range route.DefaultElements() {
		if name := p.Element.Name(); !requiredElements[name] {
			all = append(all, Policy("without "+name, name))
		}
	}
	exportAll := Policy("exports all")
	exportAll.Exports = model.ExportAll
	exportNone := Policy("exports none")
	exportNone.Exports = model.ExportNone
	withoutAdmission := Policy("without admission")
	withoutAdmission.Admission = false
	withoutFairQueueing := Policy("without fair queueing")
	withoutFairQueueing.FairQueueing = false
	withoutWorth := Policy("without worth in admission")
	withoutWorth.IgnoreWorth = true
	return append(all, exportAll, exportNone, withoutAdmission, withoutFairQueueing, withoutWorth)
}

// requiredElements are the basis of the estimate; without them there is nothing to measure.
var requiredElements = map[string]bool{route.ReportedQueue: true, route.EngineMemory: true}
