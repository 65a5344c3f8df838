package section

import (
	"io"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/document"
)

// ActiveDocument is the active document; it is immutable.
type ActiveDocument struct {
	// Document is the decoded document.
	Document document.Document
	// Chunks are the chunks of the document's encoding.
	Chunks []chunk.Chunk
	// SharedSalt is the text of the Sharing with this document.
	SharedSalt string

	source   []chunk.Chunk
	byDigest map[chunk.Digest]chunk.Chunk
}

// newActiveDocument decodes a document from its chunks.
func newActiveDocument(encoded, source []chunk.Chunk) (ActiveDocument, error) {
	text, err := chunk.Join(encoded)
	if err != nil {
		return ActiveDocument{}, err
	}
	d, err := codec.UnmarshalCommand[document.Document](text)
	if err != nil {
		return ActiveDocument{}, err
	}
	active := ActiveDocument{Document: d, Chunks: encoded, source: source, byDigest: map[chunk.Digest]chunk.Chunk{}}
	for _, all := range [][]chunk.Chunk{encoded, source} {
		for _, c := range all {
			active.byDigest[c.Digest] = c
		}
	}
	return active, nil
}

// SourceSize returns the size of the document as the operator sent it, in bytes.
func (a ActiveDocument) SourceSize() (int, error) {
	return chunk.Size(a.source)
}

// WriteSource writes the document as the operator sent it. It holds a small part of it at a time.
func (a ActiveDocument) WriteSource(w io.Writer) error {
	return chunk.Write(w, a.source)
}

// Chunk returns a chunk of the document or of its source by its digest.
func (a ActiveDocument) Chunk(d chunk.Digest) (chunk.Chunk, bool) {
	c, ok := a.byDigest[d]
	return c, ok
}

// fill returns the chunks of a command with the data that it left out, and false if a chunk is unknown.
func (a ActiveDocument) fill(all []chunk.Chunk) ([]chunk.Chunk, bool) {
	filled := make([]chunk.Chunk, 0, len(all))
	for _, c := range all {
		if len(c.Data) == 0 {
			known, ok := a.Chunk(c.Digest)
			if !ok {
				return nil, false
			}
			c = known
		}
		filled = append(filled, c)
	}
	return filled, true
}
