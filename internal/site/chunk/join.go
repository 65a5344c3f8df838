package chunk

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Join returns the text of the chunks, or an error if the content of one doesn't match its digest.
func Join(all []Chunk) ([]byte, error) {
	size := 0
	for _, c := range all {
		if c.Size < 0 || c.Size > maxBytes {
			return nil, fmt.Errorf("chunk: chunk %s has a declared size of %d bytes, %d at most are allowed", c.Digest, c.Size, maxBytes)
		}
		size += c.Size
	}
	text := make([]byte, 0, size)
	for _, c := range all {
		section, err := c.inflate()
		if err != nil {
			return nil, err
		}
		text = append(text, section...)
	}
	return text, nil
}

func (c Chunk) inflate() ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(c.Data))
	defer r.Close()
	// Data that inflates to more than maxBytes is truncated and then fails the digest check.
	text, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("chunk: chunk %s: %w", c.Digest, err)
	}
	if got := digestOf(text); got != c.Digest {
		return nil, fmt.Errorf("chunk: the content of chunk %s has digest %s", c.Digest, got)
	}
	return text, nil
}
