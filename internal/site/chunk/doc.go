// Package chunk splits a text into compressed chunks that are identified by a digest of their content.
//
// Chunk boundaries depend on the content, so that two versions of a text share all chunks
// except those around a difference. A receiver that has one version needs only the other chunks.
package chunk
