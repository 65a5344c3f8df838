package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame consists of the length of the payload (4 bytes), the payload's
// checksum (4), the checksum of these eight bytes (4), and the payload.
//
// The header has its own checksum so that a flipped bit in the length can't
// make acknowledged data look like an incomplete record.
const (
	headerSize = 12
	maxFrame   = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameState is the state of the data at a position of a file.
type frameState uint8

const (
	frameWhole frameState = iota
	// frameTorn means that the file ends before the frame does, because its write was not completed.
	frameTorn
	// frameCorrupt means that the frame doesn't match its checksum or exceeds maxFrame.
	frameCorrupt
)

// appendFrame appends a frame with payload to b and returns the extended slice.
func appendFrame(b, payload []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	return append(b, payload...)
}

// readFrame returns the payload of the frame at the start of b and the size of that frame.
func readFrame(b []byte) (payload []byte, size int, state frameState) {
	if len(b) < headerSize {
		return nil, 0, frameTorn
	}
	if crc32.Checksum(b[:8], castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, frameCorrupt
	}
	length := int(binary.LittleEndian.Uint32(b))
	if length > maxFrame {
		return nil, 0, frameCorrupt
	}
	if len(b) < headerSize+length {
		return nil, 0, frameTorn
	}
	payload = b[headerSize : headerSize+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, frameCorrupt
	}
	return payload, headerSize + length, frameWhole
}
