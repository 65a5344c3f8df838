package chunk

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/restic/chunker"
)

const (
	// polynomial is an irreducible polynomial of degree 53. Texts share chunks only if they were split with the same one.
	polynomial = chunker.Pol(0x3DA3358B4DC173)
	// minBytes and maxBytes bound the size of a chunk. The average is 2^averageBits bytes above minBytes.
	minBytes    = 4 << 10
	maxBytes    = 64 << 10
	averageBits = 13
)

// Finder returns an existing chunk by its digest.
type Finder func(Digest) (Chunk, bool)

// Split returns the chunks of a text. Chunks that find returns are not compressed again.
func Split(text []byte, find Finder) ([]Chunk, error) {
	splitter := chunker.NewWithBoundaries(bytes.NewReader(text), polynomial, minBytes, maxBytes)
	splitter.SetAverageBits(averageBits)
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("chunk: %w", err)
	}
	var all []Chunk
	buffer := make([]byte, maxBytes)
	for {
		next, err := splitter.Next(buffer)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, fmt.Errorf("chunk: split: %w", err)
		}
		c, found := find(digestOf(next.Data))
		if !found {
			if c, err = deflate(w, next.Data); err != nil {
				return nil, err
			}
		}
		all = append(all, c)
	}
}

func deflate(w *flate.Writer, text []byte) (Chunk, error) {
	var b bytes.Buffer
	w.Reset(&b)
	_, err := w.Write(text)
	if err := errors.Join(err, w.Close()); err != nil {
		return Chunk{}, fmt.Errorf("chunk: compress: %w", err)
	}
	return Chunk{Digest: digestOf(text), Size: len(text), Data: b.Bytes()}, nil
}
