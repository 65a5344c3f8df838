package sitecontrol

import (
	"math"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/section"
	"hornbeamwood/internal/site/topic"
)

// maxChunksBytes bounds the data of one answer, which must get through an entry's link before the call times out.
const maxChunksBytes = 64 << 10

// noDocument is the shown revision while there is no document.
const noDocument = math.MinInt64

// showDocument shows the digests of the document's chunks in the row table.
//
// Entries request the chunks that they lack from one replica. If each replica sent
// each entry a large document whole after each change, it would occupy the entries'
// links for longer than a change may take to be in force.
func (p *process) showDocument(active section.ActiveDocument) {
	revision := active.Document.Revision
	if p.shownRevision.Load() == revision {
		return
	}
	p.put(topic.DocumentChunks, "", topic.Document{Revision: revision, Chunks: chunk.Digests(active.Chunks), SharedSalt: active.SharedSalt})
	p.shownRevision.Store(revision)
	bytes := 0
	for _, c := range active.Chunks {
		bytes += len(c.Data)
	}
	event.DocumentShown.Write(p.config.Logger, log.Fields{"number": revision, "routes": len(active.Document.Routes), "chunks": len(active.Chunks), "bytes": bytes, "shared-salt": active.SharedSalt})
}

// chunksOf returns those of the wanted chunks that h has, in order and as many as fit into one answer.
func chunksOf(active section.ActiveDocument, wanted []chunk.Digest) []chunk.Chunk {
	var found []chunk.Chunk
	bytes := 0
	for _, d := range wanted {
		c, ok := active.Chunk(d)
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
