package service

import "context"

// Log is an entry's client of the replicated control log; its errors are verdict.Error.
type Log interface {
	// Propose returns the result of a committed command; an error with the verdict not-run means that the command is not in the log.
	Propose(ctx context.Context, section string, body []byte) ([]byte, error)
	// Read returns the answer to a linearizable query.
	Read(ctx context.Context, section string, body []byte) ([]byte, error)
}
