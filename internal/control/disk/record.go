package disk

import (
	"encoding/binary"
	"errors"

	"hornbeamwood/internal/control/raft"
)

// recordKind is the first byte of a record in a segment.
type recordKind byte

const (
	// recordStart is the first record of a segment. It contains the index of the last entry before the segment.
	recordStart recordKind = iota + 1
	// recordHardState contains a new hard state.
	recordHardState
	// recordEntry contains an entry, which replaces all entries with the same or a higher index.
	recordEntry
	// recordReset removes all entries. It contains the index that the next entry follows.
	recordReset
)

var errRecord = errors.New("not a record of this version")

func appendHardState(b []byte, h raft.HardState) []byte {
	payload := []byte{byte(recordHardState)}
	payload = binary.LittleEndian.AppendUint64(payload, h.Term)
	return appendFrame(b, append(payload, h.Vote...))
}

func appendStart(b []byte, after uint64) []byte {
	payload := []byte{byte(recordStart)}
	return appendFrame(b, binary.LittleEndian.AppendUint64(payload, after))
}

func appendReset(b []byte, after uint64) []byte {
	payload := []byte{byte(recordReset)}
	return appendFrame(b, binary.LittleEndian.AppendUint64(payload, after))
}

// appendEntry appends the record of e to b and returns the extended slice; scratch is reused for the payload.
func appendEntry(b []byte, e raft.Entry, scratch []byte) (out, reused []byte) {
	payload := append(scratch[:0], byte(recordEntry), byte(e.Kind))
	payload = binary.LittleEndian.AppendUint64(payload, e.Index)
	payload = binary.LittleEndian.AppendUint64(payload, e.Term)
	payload = append(payload, e.Data...)
	return appendFrame(b, payload), payload
}

// entryHeader is the length in bytes of an entry record before the entry's data.
const entryHeader = 18

func parseEntry(payload []byte) (raft.Entry, error) {
	if len(payload) < entryHeader {
		return raft.Entry{}, errRecord
	}
	return raft.Entry{
		Kind:  raft.EntryKind(payload[1]),
		Index: binary.LittleEndian.Uint64(payload[2:]),
		Term:  binary.LittleEndian.Uint64(payload[10:]),
		Data:  payload[entryHeader:],
	}, nil
}

func parseHardState(payload []byte) (raft.HardState, error) {
	if len(payload) < 9 {
		return raft.HardState{}, errRecord
	}
	return raft.HardState{Term: binary.LittleEndian.Uint64(payload[1:]), Vote: raft.Identity(payload[9:])}, nil
}

func parseIndex(payload []byte) (uint64, error) {
	if len(payload) != 9 {
		return 0, errRecord
	}
	return binary.LittleEndian.Uint64(payload[1:]), nil
}
