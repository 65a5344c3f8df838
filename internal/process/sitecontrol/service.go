package sitecontrol

import (
	"context"

	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/section"
)

// Service handles requests of operators and backend servers to a control replica. Every failure is a verdict.Error.
type Service interface {
	// Announce records a server's announcement; nil acknowledges it.
	Announce(ctx context.Context, s directory.Server) error
	// Depart records that a server ends; startedAt is zero when the server didn't name the incarnation that ends.
	Depart(ctx context.Context, id string, startedAt int64) error
	// PutDocument puts a document in force; nil acknowledges it, also when a higher revision is in force.
	PutDocument(ctx context.Context, d document.Document, source []byte) error
	// Document returns the document in force, confirmed by a quorum after the call began.
	Document(ctx context.Context) (section.ActiveDocument, error)
	// SetTargetVersion sets the version of weights that the engines are to load.
	SetTargetVersion(ctx context.Context, model string, version int64) error
	// SetEvacuation starts or ends the evacuation of an availability zone; nil acknowledges the order.
	SetEvacuation(ctx context.Context, zone string, active bool) error
	// Address is the replica's address for operators and servers.
	Address() string
}
