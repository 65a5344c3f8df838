package service

import "context"

// Log is the replicated control log as entries reach it; its errors are verdict.Error.
type Log interface {
	// Propose returns the result of a committed command; an error with verdict not-run means that it is certainly not in the log.
	Propose(ctx context.Context, section string, body []byte) ([]byte, error)
	// Read returns the answer to a linearizable query.
	Read(ctx context.Context, section string, body []byte) ([]byte, error)
}
