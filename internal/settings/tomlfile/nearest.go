package tomlfile

// Nearest returns the known name with the smallest edit distance to name, and false if none is close enough.
func Nearest(name string, known []string) (string, bool) {
	best, least := "", len(name)/2+2
	for _, k := range known {
		// The distance is at least the difference of the lengths, and a long name would take long.
		if len(name)-len(k) >= least {
			continue
		}
		if d := distance(name, k); d < least {
			best, least = k, d
		}
	}
	return best, best != ""
}

// distance returns the Levenshtein distance of a and b in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := diagonal
			if a[i] != b[j] {
				change++
			}
			diagonal = row[j+1]
			row[j+1] = min(change, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}

// Unknown returns the message for an unknown key, with the nearest known key if there is one.
func Unknown(name string, known []string) string {
	if n, ok := Nearest(name, known); ok {
		return "unknown key; the nearest known key is " + n
	}
	return "unknown key"
}
