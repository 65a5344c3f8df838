package section

import (
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/document"
)

// Name is the name of the section in the control log.
const Name = "site"

// Command is one change of the section; exactly one field is set.
type Command struct {
	// Put activates a document; it occurs only in logs of earlier releases.
	Put *Put `cbor:"put,omitempty"`
	// PutChunks activates a document.
	PutChunks *PutChunks `cbor:"put-chunks,omitempty"`
	// SetTargetVersion sets the target version of a model's weights.
	SetTargetVersion *SetTargetVersion `cbor:"name-version,omitempty"`
	// SetEvacuation starts or ends the evacuation of an availability zone.
	SetEvacuation *SetEvacuation `cbor:"set-evacuation,omitempty"`
	// AddSoftware records a version of servers' software.
	AddSoftware *Software `cbor:"add-software,omitempty"`
	// RemoveSoftware removes a version that no server has had for long.
	RemoveSoftware *Software `cbor:"remove-software,omitempty"`
}

// Put activates a document unless one with the same or a higher revision is active.
type Put struct {
	// Document is the decoded document, checked before it is proposed.
	Document document.Document `cbor:"document"`
	// Source is the document as the operator sent it; reads return it unchanged.
	Source []byte `cbor:"source"`
}

// PutChunks activates a document unless one with the same or a higher revision is active.
//
// Chunks without data are chunks of the document that was active when the command was created.
// A log entry with all of a large document would occupy the leader's link for longer than
// heartbeats may be delayed, and another replica would be elected during its transfer.
type PutChunks struct {
	// Revision is the document's revision.
	Revision int64 `cbor:"number"`
	// Document is the encoded document, checked before it is proposed.
	Document []chunk.Chunk `cbor:"document"`
	// Source is the document as the operator sent it; reads return it unchanged.
	Source []chunk.Chunk `cbor:"source"`
}

// SetTargetVersion sets the version of a model's weights that the engines should load.
type SetTargetVersion struct {
	// Model is the name of the model.
	Model string `cbor:"model"`
	// Version is the version of its weights; one that is not higher than the current target changes nothing.
	Version int64 `cbor:"version"`
	// At is when the target was set, by the servers' clock in Unix milliseconds; zero when that is unknown.
	At int64 `cbor:"at,omitempty"`
}

// SetEvacuation starts or ends the evacuation of an availability zone, whose servers get no requests meanwhile.
//
// It takes effect only if no other order for the zone was accepted since it was received. An
// order that one replica delivers late, after the operator has sent it again elsewhere and then
// the opposite, would otherwise undo the later one.
type SetEvacuation struct {
	// Zone is the availability zone.
	Zone string `cbor:"zone"`
	// Active is true for a start and false for an end.
	Active bool `cbor:"active"`
	// After is the number of the zone's last accepted order when this one was received.
	After uint64 `cbor:"after"`
	// At is when the order was received, in Unix milliseconds, for operators.
	At int64 `cbor:"at"`
}

// Evacuation is the state of an availability zone.
type Evacuation struct {
	// Number counts the accepted orders for the zone.
	Number uint64 `cbor:"number"`
	// Active is set while the zone is evacuated.
	Active bool `cbor:"active"`
	// ChangedAt is when Active last changed, in Unix milliseconds.
	ChangedAt int64 `cbor:"changed-at"`
}

// Result is the result of a Command.
type Result struct {
	// Accepted is set if the command was valid, even if it changed nothing.
	Accepted bool `cbor:"taken"`
	// MissingChunks is set if the command left out chunks that are no longer stored. It has changed nothing, and the caller sends it again with all chunks.
	MissingChunks bool `cbor:"lacking,omitempty"`
	// Overtaken is set if another order for the zone was accepted since the command was created. It has changed nothing.
	Overtaken bool `cbor:"overtaken,omitempty"`
	// Changed is set if the command changed the state.
	Changed bool `cbor:"changed"`
	// Revision is the revision of the active document.
	Revision int64 `cbor:"number"`
}
