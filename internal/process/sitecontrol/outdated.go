package sitecontrol

import (
	"strconv"
	"strings"

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
	return func(p stores.Part) bool {
		model, version, ok := saltVersion(p.Salt)
		return ok && version < current[model] && float64(p.Hash()%hashSteps) < share[model]*hashSteps
	}
}

// saltVersion returns the model and the weight version in a salt.
func saltVersion(salt string) (string, int64, bool) {
	fields := strings.Split(salt, "/")
	if len(fields) < 2 {
		return "", 0, false
	}
	n, err := strconv.ParseInt(fields[1], 10, 64)
	return fields[0], n, err == nil
}
