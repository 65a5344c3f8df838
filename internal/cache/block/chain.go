package block

import (
	"crypto/sha256"
	"encoding/binary"
)

// chain computes the keys of one prompt in order, using a single buffer.
type chain struct {
	buffer []byte
	head   int
	parent Key
}

func newChain(domain string, root Key, size int) *chain {
	b := appendString(make([]byte, 0, 8+len(domain)+Size+8+size), domain)
	return &chain{buffer: b, head: len(b), parent: root}
}

func (c *chain) tokens(piece []uint32) Key {
	b := c.start(len(piece))
	for _, t := range piece {
		b = binary.BigEndian.AppendUint32(b, t)
	}
	return c.finish(b)
}

func (c *chain) text(piece []byte) Key {
	return c.finish(append(c.start(len(piece)), piece...))
}

func (c *chain) start(length int) []byte {
	b := append(c.buffer[:c.head], c.parent[:]...)
	return binary.BigEndian.AppendUint64(b, uint64(length))
}

func (c *chain) finish(b []byte) Key {
	c.buffer = b
	c.parent = sha256.Sum256(b)
	return c.parent
}
