package sitecontrol

import (
	"strconv"
	"strings"

	"hornbeamwood/internal/site/stores"
)

const (
	// freeAhead is the part of the old weights' parts that goes ahead of the engines.
	freeAhead = 0.25
	// hashSteps is how finely parts are told apart by their hash.
	hashSteps = 1000
)

// outdated returns what tells the parts of older weights that make room for those of newer ones.
//
// While engines load one after the other, old and new parts are wanted side by
// side and the stores hold but one set. So as many of the old parts go as
// engines have left the old weights, and a little ahead of them, since a part
// stays for some seconds after entries were told that it goes.
func (l *librarian) outdated() func(stores.Part) bool {
	current, share := map[string]int64{}, map[string]float64{}
	e := engines{l.process}
	for model, named := range l.section.TargetVersions() {
		older, all := 0, 0
		for _, s := range e.Engines() {
			if _, ok := s.Version(model); !ok {
				continue
			}
			all++
			if e.Version(s, model) < named {
				older++
			}
		}
		if all > 0 && older < all {
			current[model] = named
			share[model] = min(1, float64(all-older)/float64(all)+freeAhead)
		}
	}
	return func(p stores.Part) bool {
		model, version, ok := saltVersion(p.Salt)
		return ok && version < current[model] && float64(p.Hash()%hashSteps) < share[model]*hashSteps
	}
}

// saltVersion returns the model and the version that a salt names.
func saltVersion(salt string) (string, int64, bool) {
	fields := strings.Split(salt, "/")
	if len(fields) < 2 {
		return "", 0, false
	}
	n, err := strconv.ParseInt(fields[1], 10, 64)
	return fields[0], n, err == nil
}
