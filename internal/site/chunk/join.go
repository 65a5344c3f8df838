package chunk

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Join returns the text that the chunks were cut from, or an error if one of them isn't what its name says.
func Join(all []Chunk) ([]byte, error) {
	size := 0
	for _, c := range all {
		if c.Size < 0 || c.Size > maxBytes {
			return nil, fmt.Errorf("chunk: chunk %s says that it has %d bytes, %d at most are allowed", c.Digest, c.Size, maxBytes)
		}
		size += c.Size
	}
	text := make([]byte, 0, size)
	for _, c := range all {
		part, err := c.inflate()
		if err != nil {
			return nil, err
		}
		text = append(text, part...)
	}
	return text, nil
}

func (c Chunk) inflate() ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(c.Data))
	defer r.Close()
	// Data that inflates to more than the largest chunk is cut off there and fails by its digest.
	text, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("chunk: chunk %s: %w", c.Digest, err)
	}
	if got := digestOf(text); got != c.Digest {
		return nil, fmt.Errorf("chunk: the content of chunk %s has digest %s", c.Digest, got)
	}
	return text, nil
}
