package sitecontrol

import (
	"math"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/section"
	"hornbeamwood/internal/site/topic"
)

// maxChunksBytes bounds the data of one answer, which has to be through an entry's link before the call times out.
const maxChunksBytes = 64 << 10

// noDocument stands for the number of no document.
const noDocument = math.MinInt64

// showDocument puts the names of the document's chunks on the board.
//
// Entries get the chunks that they lack from one replica. If each replica sent
// each entry all of a large document after each change, it would take the entries'
// links for longer than a change may take to be in force.
func (p *process) showDocument(h section.ActiveDocument) {
	number := h.Document.Revision
	if p.shown.Load() == number {
		return
	}
	p.put(topic.DocumentChunks, "", topic.Document{Revision: number, Chunks: chunk.Digests(h.Chunks)})
	p.shown.Store(number)
	bytes := 0
	for _, c := range h.Chunks {
		bytes += len(c.Data)
	}
	event.DocumentShown.Write(p.config.Logger, log.Fields{"number": number, "routes": len(h.Document.Routes), "chunks": len(h.Chunks), "bytes": bytes})
}

// chunksOf returns the first of the wanted chunks that h has, as many as fit into one answer.
func chunksOf(h section.ActiveDocument, wanted []chunk.Digest) []chunk.Chunk {
	var found []chunk.Chunk
	bytes := 0
	for _, d := range wanted {
		c, ok := h.Chunk(d)
		if !ok {
			continue
		}
		bytes += len(c.Data)
		if len(found) > 0 && bytes > maxChunksBytes {
			return found
		}
		found = append(found, c)
	}
	return found
}
