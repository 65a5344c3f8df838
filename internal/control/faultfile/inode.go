package faultfile

import "math/rand/v2"

const (
	// sectorBytes is the unit in which a disk writes: a torn write has some of its sectors.
	sectorBytes = 512
	// smallestPiece is the length in bytes below which the last part of a write shares the fate of the sector before it.
	smallestPiece = 16
)

// inode is the content of one file: the current content, the content at the last sync and the sizes of the file
// before each write since.
type inode struct {
	content []byte
	synced  []byte
	writes  []int
}

// write appends b.
func (n *inode) write(b []byte) {
	n.writes = append(n.writes, len(n.content))
	n.content = append(n.content, b...)
}

func (n *inode) sync() {
	n.synced = append([]byte(nil), n.content...)
	n.writes = nil
}

// crash keeps the synced content. If random is not nil, each write since is kept, lost or torn.
func (n *inode) crash(random *rand.Rand) {
	kept := append([]byte(nil), n.synced...)
	if random == nil || len(n.writes) == 0 {
		n.content = kept
		n.sync()
		return
	}
	for i, start := range n.writes {
		end := len(n.content)
		if i+1 < len(n.writes) {
			end = n.writes[i+1]
		}
		for _, p := range keptPieces(random, start, end) {
			kept = append(kept, make([]byte, max(0, p.end-len(kept)))...)
			copy(kept[p.start:p.end], n.content[p.start:p.end])
		}
	}
	n.content = kept
	n.sync()
}

// piece is a range of bytes of a file.
type piece struct{ start, end int }

// keptPieces returns the parts of a write that a crash keeps: none, all, a prefix at which the file ends, or some
// sectors. The size of the file is durable with the last part.
func keptPieces(random *rand.Rand, start, end int) []piece {
	switch random.IntN(4) {
	case 0:
		return nil
	case 1:
		return []piece{{start, end}}
	case 2:
		return []piece{{start, start + random.IntN(end-start+1)}}
	}
	var all []piece
	for at := start; at < end; {
		next := min((at/sectorBytes+1)*sectorBytes, end)
		if end-next < smallestPiece {
			next = end
		}
		if random.IntN(2) == 0 {
			all = append(all, piece{at, next})
		}
		at = next
	}
	if random.IntN(2) == 0 {
		// The size is durable although the last part isn't: it reads as zeros.
		all = append(all, piece{end, end})
	}
	return all
}
