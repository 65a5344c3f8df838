package workload

import (
	"time"

	"hornbeamwood/internal/settings/rules"
)

// Class is one class of requests of a deployment.
type Class struct {
	// Name is the kebab-case name of the class.
	Name string
	// RequestShare is the share of all requests.
	RequestShare float64
	// Service is the plain service that is called; empty means a prompt to the model.
	Service string
	// ServiceTime is how long the plain service takes for a call.
	ServiceTime time.Duration
	// Pieces is the number of complete cache pieces of a new document; zero means prompts without a document.
	Pieces Span
	// Tail is the number of prompt tokens after the last complete piece.
	Tail Span
	// Answer is the number of tokens of the completion.
	Answer Span
	// ReturnProbability is the probability that a document returns.
	ReturnProbability float64
	// ReturnGap bounds the time until it returns.
	ReturnGap [2]time.Duration
	// Growth is the number of pieces that are added to a document when it returns.
	Growth Span
	// Rules are the rules of the class's requests; the generator adds the workspace's share.
	Rules rules.Rules
}
