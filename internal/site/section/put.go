package section

import (
	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/document"
)

// NewPutChunks returns the command that brings d into force where h is: without the data of the chunks that both share.
func NewPutChunks(d document.Document, source []byte, h ActiveDocument) (PutChunks, error) {
	encoded, err := codec.Marshal(d)
	if err != nil {
		return PutChunks{}, err
	}
	p := PutChunks{Revision: d.Revision}
	if p.Document, err = cut(encoded, h); err != nil {
		return PutChunks{}, err
	}
	p.Source, err = cut(source, h)
	return p, err
}

func cut(text []byte, h ActiveDocument) ([]chunk.Chunk, error) {
	return chunk.Cut(text, func(d chunk.Digest) (chunk.Chunk, bool) {
		c, ok := h.Chunk(d)
		return c.WithoutData(), ok
	})
}
