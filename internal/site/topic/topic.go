package topic

import "hornbeamwood/internal/site/board"

// Topics of rows. The numbers travel between processes and are never reused.
const (
	// Document is the operator's document; its one row holds a document.Document.
	Document board.Topic = 1
	// Servers holds a directory.Server for each server's ID.
	Servers board.Topic = 2
	// Members holds the addresses of the control replicas as []string in one row.
	Members board.Topic = 3
	// Versions holds the named version of weights for each model as an int64.
	Versions board.Topic = 4
)
