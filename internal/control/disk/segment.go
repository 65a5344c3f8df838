package disk

import (
	"fmt"
	"strings"
)

const (
	segmentPrefix = "log-"
	// segmentMagic opens each segment and names the version of its format.
	segmentMagic = "hbwlog01"
)

// segment is one file of the log that is no longer written.
type segment struct {
	name string
	// last is the highest index of an entry in it.
	last uint64
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, number)
}

func segmentNumber(name string) (uint64, bool) {
	var n uint64
	rest, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok || len(rest) != 16 {
		return 0, false
	}
	if _, err := fmt.Sscanf(rest, "%016x", &n); err != nil {
		return 0, false
	}
	return n, true
}
