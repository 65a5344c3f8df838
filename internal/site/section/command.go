package section

import (
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/document"
)

// Name is the section's name in the control log.
const Name = "site"

// Command is one change; exactly one field is set.
type Command struct {
	// Put brings a document into force; logs of earlier releases hold it.
	Put *Put `cbor:"put,omitempty"`
	// PutChunks brings a document into force.
	PutChunks *PutChunks `cbor:"put-chunks,omitempty"`
	// SetTargetVersion names new weights.
	SetTargetVersion *SetTargetVersion `cbor:"name-version,omitempty"`
}

// Put brings a document into force unless one with its number or a higher one is.
type Put struct {
	// Document is the decoded document, checked before it is proposed.
	Document document.Document `cbor:"document"`
	// Source is what the operator sent; reads return it unchanged.
	Source []byte `cbor:"source"`
}

// PutChunks brings a document into force unless one with its number or a higher one is.
//
// Chunks without data are those of the document in force when the command was made.
// A log entry with all of a large document takes the leader's link for longer than
// heartbeats may be late, and another replica is elected while it is under way.
type PutChunks struct {
	// Revision is the document's.
	Revision int64 `cbor:"number"`
	// Document is the decoded document, checked before it is proposed, in its encoding.
	Document []chunk.Chunk `cbor:"document"`
	// Source is what the operator sent; reads return it unchanged.
	Source []chunk.Chunk `cbor:"source"`
}

// SetTargetVersion names the weights that the engines shall have.
type SetTargetVersion struct {
	// Model is the model.
	Model string `cbor:"model"`
	// Version is the number of its weights; a lower one than the present changes nothing.
	Version int64 `cbor:"version"`
	// At is when it was named by the servers' clock in Unix milliseconds, zero where that isn't known.
	At int64 `cbor:"at,omitempty"`
}

// Result is what a Command returns.
type Result struct {
	// Taken says that the command was read; also one that changed nothing is.
	Taken bool `cbor:"taken"`
	// MissingChunks says that the command left out chunks that aren't held any more; it has changed nothing and is sent again with all of them.
	MissingChunks bool `cbor:"lacking,omitempty"`
	// Changed says that the state is another one now.
	Changed bool `cbor:"changed"`
	// Revision is the number of the document in force.
	Revision int64 `cbor:"number"`
}
