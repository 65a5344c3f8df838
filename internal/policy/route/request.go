package route

import "hornbeamwood/internal/settings/rules"

// Request is the input of a routing decision for one prompt.
type Request struct {
	// Workspace is the workspace's name.
	Workspace string
	// Model is the model's name.
	Model string
	// Rules are the effective rules of the workspace for the model.
	Rules rules.Rules
	// Key is a hash of workspace, model and the first piece; requests with a common prefix have the
	// same key.
	Key uint64
	// Tokens is the length of the prompt.
	Tokens int
	// Pieces are the whole pieces of the prompt in order; the tokens after them are always
	// computed.
	Pieces []Piece
}

// Tail returns the number of tokens after the last whole piece.
func (r *Request) Tail() int {
	n := r.Tokens
	for i := range r.Pieces {
		n -= r.Pieces[i].Tokens
	}
	return max(n, 0)
}
