package disk

import (
	"fmt"
	"strings"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/raft"
)

const snapshotPrefix = "snapshot-"

func snapshotName(m raft.SnapshotMeta) string {
	return fmt.Sprintf("%s%016x-%016x", snapshotPrefix, m.Index, m.Term)
}

// latestSnapshot returns the name of the newest snapshot, or "" if there is none.
func latestSnapshot(names []string) string {
	latest := ""
	for _, n := range names {
		if strings.HasPrefix(n, snapshotPrefix) && !strings.HasSuffix(n, temporary) {
			latest = n
		}
	}
	return latest
}

// encodeSnapshot returns a frame with the metadata followed by a frame with the data.
func encodeSnapshot(s raft.Snapshot) ([]byte, error) {
	meta, err := codec.Marshal(s.Meta)
	if err != nil {
		return nil, err
	}
	b := make([]byte, 0, len(meta)+len(s.Data)+2*headerSize)
	return appendFrame(appendFrame(b, meta), s.Data), nil
}

// readSnapshot returns the snapshot in the file name after it has verified all checksums.
func readSnapshot(files Files, name string) (raft.Snapshot, error) {
	b, err := files.Read(name)
	if err != nil {
		return raft.Snapshot{}, fmt.Errorf("disk: read %s: %w", files.Path(name), err)
	}
	corrupt := func(offset int, reason string) (raft.Snapshot, error) {
		return raft.Snapshot{}, &Corruption{Path: files.Path(name), Offset: int64(offset), Reason: reason}
	}
	header, size, state := readFrame(b)
	if state != frameWhole {
		return corrupt(0, "the snapshot's header does not match its checksum")
	}
	meta, err := codec.Unmarshal[raft.SnapshotMeta](header)
	if err != nil {
		return corrupt(0, err.Error())
	}
	data, dataSize, state := readFrame(b[size:])
	if state != frameWhole || size+dataSize != len(b) || !meta.Verify(data) {
		return corrupt(size, "the snapshot's data does not match its checksum")
	}
	return raft.Snapshot{Meta: meta, Data: data}, nil
}
