package disk

import "strings"

const (
	// sectorBytes is the smallest unit in which disks write.
	sectorBytes = 512
	// minZeroTail is longer than the zeros in which a record of an index or a term can end.
	minZeroTail = 16
)

// isCut returns whether b ends within the record, or the magic, that begins at offset at.
func isCut(b []byte, at int) bool {
	if at == 0 {
		return len(b) < len(segmentMagic) && strings.HasPrefix(segmentMagic, string(b))
	}
	_, _, state := readFrame(b[at:])
	return state == frameTorn
}

// lacksSectors returns whether the damage at offset at is that of a power loss during the last write: sectors of
// that write are missing and read as zeros.
//
// Damage of acknowledged data looks different: either a later write follows, which would not have begun before the
// damaged one was synced, or no sector is missing.
func lacksSectors(b []byte, at int) bool {
	return !writeFollows(b, at) && missesSector(b, at)
}

// writeFollows returns whether a later write begins after offset at. Each write begins with a hard state.
func writeFollows(b []byte, at int) bool {
	for i := at + 1; i+headerSize < len(b); i++ {
		if b[i+headerSize] != byte(recordHardState) {
			continue
		}
		if payload, _, state := readFrame(b[i:]); state == frameWhole && recordKind(payload[0]) == recordHardState {
			return true
		}
	}
	return false
}

// missesSector returns whether b has a sector of zeros from offset at on. The sector in which the write begins
// counts from there, and the last one only if it is long enough.
func missesSector(b []byte, at int) bool {
	for start := at; start < len(b); {
		end := min((start/sectorBytes+1)*sectorBytes, len(b))
		if isZero(b[start:end]) && (end < len(b) || end-start >= minZeroTail) {
			return true
		}
		start = end
	}
	return isZero(b[max(at, len(b)-minZeroTail):])
}

func isZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
