package sitecontrol

import (
	"hornbeamwood/internal/site/salt"
	"hornbeamwood/internal/site/stores"
)

const (
	// extraFreeShare is the share of the old version's parts that is freed ahead of the engines' progress.
	extraFreeShare = 0.25
	// hashSteps is the number of steps into which parts are divided by their hash.
	hashSteps = 1000
)

// outdated returns a function that selects the parts of older weight versions to withdraw
// in favor of those of newer ones.
//
// While engines load new weights one after the other, old and new parts are wanted side
// by side, and the stores have capacity for one set only. The share of old parts that is
// withdrawn follows the share of engines that have left the old version, and is a little
// ahead of it, since a part stays for some seconds after entries were notified.
//
// The parts under an earlier text of the workspaces that share are of no use to any request.
func (sf *storeFollower) outdated() func(stores.Part) bool {
	current, share := map[string]int64{}, map[string]float64{}
	w := weightsSite{sf.process}
	for model, target := range sf.section.TargetVersions() {
		older, all := 0, 0
		for _, s := range w.Engines() {
			if _, ok := s.Version(model); !ok {
				continue
			}
			all++
			if w.Version(s, model) < target {
				older++
			}
		}
		if all > 0 && older < all {
			current[model] = target
			share[model] = min(1, float64(all-older)/float64(all)+extraFreeShare)
		}
	}
	active, known := sf.section.Active()
	return func(p stores.Part) bool {
		s, ok := salt.Parse(p.Salt)
		switch {
		case !ok:
			return false
		case known && !s.Isolated && salt.Older(s.Shared, active.SharedSalt):
			return true
		}
		return s.Version < current[s.Model] && float64(p.Hash()%hashSteps) < share[s.Model]*hashSteps
	}
}
