// Package chunk cuts a text into compressed chunks that are named by their content.
//
// Boundaries follow the content, so that two versions of a text share all chunks
// except those around a difference. Who has one version needs only the others.
package chunk
