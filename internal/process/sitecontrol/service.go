package sitecontrol

import (
	"context"

	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/section"
)

// Service is what operators and backend servers ask of a control replica; every failure is a verdict.Error.
type Service interface {
	// Announce takes what a server says of itself; nil acknowledges it.
	Announce(ctx context.Context, s directory.Server) error
	// Depart takes a server's word that it ends; born is zero when it didn't say which start of it ends.
	Depart(ctx context.Context, id string, born int64) error
	// PutDocument brings a document into force; nil acknowledges it, also when a higher number is in force.
	PutDocument(ctx context.Context, d document.Document, source []byte) error
	// Document returns the document in force, confirmed by a quorum after the call began.
	Document(ctx context.Context) (section.ActiveDocument, error)
	// SetTargetVersion names the weights that the engines shall have.
	SetTargetVersion(ctx context.Context, model string, version int64) error
	// Address is the replica's address for operators and servers.
	Address() string
}
