package disk

import (
	"fmt"
	"strings"
)

const (
	segmentPrefix = "log-"
	// segmentMagic is the start of each segment and identifies the version of the format.
	segmentMagic = "hbwlog01"
)

// segment is one file of the log.
type segment struct {
	name string
	// last is the highest index of an entry in the segment.
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
