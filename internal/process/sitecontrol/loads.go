package sitecontrol

import "time"

const (
	// loadsInterval is the time between two sums on the board while there are few
	// entries. A long prompt is read for a quarter of a second; news within a tenth
	// of that keep two entries from choosing the same engine for the next one.
	loadsInterval = 25 * time.Millisecond
	// entriesPerInterval is for how many entries the interval holds; it grows with
	// more, so that the cost of the sums stays what it is.
	entriesPerInterval = 16
	// loadsRate is how many bytes a second of sums each entry gets at most: a
	// sixtieth of a link of 10 Mbit/s.
	loadsRate = 20_000
)

// loadsPause returns how long to wait between two sums of so many bytes for so many entries.
func loadsPause(entries, size int) time.Duration {
	byEntries := time.Duration(1+entries/entriesPerInterval) * loadsInterval
	byBytes := time.Duration(float64(size) / loadsRate * float64(time.Second))
	return max(byEntries, byBytes)
}
