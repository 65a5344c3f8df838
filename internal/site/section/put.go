package section

import (
	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/document"
)

// NewPutChunks returns the command that activates d where active is the active document. It leaves out the data of the chunks that both share.
func NewPutChunks(d document.Document, source []byte, active ActiveDocument) (PutChunks, error) {
	encoded, err := codec.Marshal(d)
	if err != nil {
		return PutChunks{}, err
	}
	p := PutChunks{Revision: d.Revision}
	if p.Document, err = splitWithoutKnown(encoded, active); err != nil {
		return PutChunks{}, err
	}
	p.Source, err = splitWithoutKnown(source, active)
	return p, err
}

func splitWithoutKnown(text []byte, active ActiveDocument) ([]chunk.Chunk, error) {
	return chunk.Split(text, func(d chunk.Digest) (chunk.Chunk, bool) {
		c, ok := active.Chunk(d)
		return c.WithoutData(), ok
	})
}
