package sitecontrol

import "time"

const (
	// loadsInterval is the time between two sums of loads while there are few entries.
	// The prefill of a long prompt takes a quarter of a second; updates within a tenth of
	// that keep two entries from choosing the same engine for the next prompt.
	loadsInterval = 25 * time.Millisecond
	// entriesPerInterval is the number of entries per multiple of the interval, which
	// grows with the entries so that the cost of the sums stays constant.
	entriesPerInterval = 16
	// loadsRate is the maximum rate of sums to each entry in bytes per second: a
	// sixtieth of a link of 10 Mbit/s.
	loadsRate = 20_000
)

// sumsInterval returns the time between two sums of size bytes each for the given number of entries.
func sumsInterval(entries, size int) time.Duration {
	byEntries := time.Duration(1+entries/entriesPerInterval) * loadsInterval
	byBytes := time.Duration(float64(size) / loadsRate * float64(time.Second))
	return max(byEntries, byBytes)
}
