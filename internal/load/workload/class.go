package workload

import (
	"time"

	"hornbeamwood/internal/settings/rules"
)

// Class is one kind of request of a deployment.
type Class struct {
	// Name is the kebab-case name of the class.
	Name string
	// Share is the part of all requests.
	Share float64
	// Service is the plain service that is called; empty for a prompt to the model.
	Service string
	// ServiceTime is how long a plain service works on a call.
	ServiceTime time.Duration
	// Pieces is the number of whole cache pieces of a new document; zero for prompts without one.
	Pieces Span
	// Tail is the number of prompt tokens after the last whole piece.
	Tail Span
	// Answer is the number of tokens of the answer.
	Answer Span
	// Return is the probability that a document comes back.
	Return float64
	// Gap is the time until it does.
	Gap [2]time.Duration
	// Growth is the number of pieces that are added to a document when it comes back.
	Growth Span
	// Rules are the rules of the class's requests; the workspace's share is added by the generator.
	Rules rules.Rules
}
