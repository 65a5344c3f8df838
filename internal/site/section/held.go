package section

import (
	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/document"
)

// ActiveDocument is the document in force; it is immutable.
type ActiveDocument struct {
	// Document is the decoded document.
	Document document.Document
	// Chunks hold the document's encoding.
	Chunks []chunk.Chunk

	source []chunk.Chunk
	byName map[chunk.Digest]chunk.Chunk
}

// newHeld decodes a document from its chunks.
func newHeld(encoded, source []chunk.Chunk) (ActiveDocument, error) {
	text, err := chunk.Join(encoded)
	if err != nil {
		return ActiveDocument{}, err
	}
	d, err := codec.Unmarshal[document.Document](text)
	if err != nil {
		return ActiveDocument{}, err
	}
	h := ActiveDocument{Document: d, Chunks: encoded, source: source, byName: map[chunk.Digest]chunk.Chunk{}}
	for _, all := range [][]chunk.Chunk{encoded, source} {
		for _, c := range all {
			h.byName[c.Digest] = c
		}
	}
	return h, nil
}

// Source returns what the operator sent.
func (h ActiveDocument) Source() ([]byte, error) {
	return chunk.Join(h.source)
}

// Chunk returns a chunk of the document or of its source by its name.
func (h ActiveDocument) Chunk(d chunk.Digest) (chunk.Chunk, bool) {
	c, ok := h.byName[d]
	return c, ok
}

// fill returns the chunks with the data that the command left out, and false if some of it isn't held.
func (h ActiveDocument) fill(all []chunk.Chunk) ([]chunk.Chunk, bool) {
	filled := make([]chunk.Chunk, 0, len(all))
	for _, c := range all {
		if len(c.Data) == 0 {
			known, ok := h.Chunk(c.Digest)
			if !ok {
				return nil, false
			}
			c = known
		}
		filled = append(filled, c)
	}
	return filled, true
}
