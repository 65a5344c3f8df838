package suspicion

import "slices"

// containsAll returns whether all fingerprints of few are among all.
func containsAll(all, few []Fingerprint) bool {
	return !slices.ContainsFunc(few, func(f Fingerprint) bool { return !slices.Contains(all, f) })
}
