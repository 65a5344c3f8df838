package chunk

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Join returns the text of the chunks, or an error if the content of one doesn't match its digest.
func Join(all []Chunk) ([]byte, error) {
	size, err := Size(all)
	if err != nil {
		return nil, err
	}
	text := bytes.NewBuffer(make([]byte, 0, size))
	if err := Write(text, all); err != nil {
		return nil, err
	}
	return text.Bytes(), nil
}

// Size returns the size of the text of the chunks in bytes, or an error if a chunk declares one that it can't have.
func Size(all []Chunk) (int, error) {
	size := 0
	for _, c := range all {
		if c.Size < 0 || c.Size > maxBytes {
			return 0, fmt.Errorf("chunk: chunk %s has a declared size of %d bytes, %d at most are allowed", c.Digest, c.Size, maxBytes)
		}
		size += c.Size
	}
	return size, nil
}

// Write writes the text of the chunks, one chunk at a time, until the content of one doesn't match its digest.
func Write(w io.Writer, all []Chunk) error {
	for _, c := range all {
		section, err := c.inflate()
		if err != nil {
			return err
		}
		if _, err := w.Write(section); err != nil {
			return fmt.Errorf("chunk: %w", err)
		}
	}
	return nil
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
