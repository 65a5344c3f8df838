package caller

import (
	"context"

	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/settings/rules"
)

// Snapshots provides the settings in force.
type Snapshots interface {
	// Current returns the settings for new requests, or a verdict.Error when their lease has expired.
	Current() (*rules.Snapshot, error)
}

// Completer runs completions.
type Completer interface {
	// Complete returns the stream of one completion or a verdict.Error; when ctx ends, the run is cancelled.
	Complete(ctx context.Context, r Request) (Stream, error)
}

// Stream is one completion's answer.
type Stream interface {
	// Next returns the JSON of the next event, valid until the next call. Its error
	// is io.EOF after a complete answer, otherwise a verdict.Error.
	Next() ([]byte, error)
	// Close ends the stream and cancels the run if it isn't complete.
	Close()
}

// Services calls plain services.
type Services interface {
	// Call returns the complete answer to r or a verdict.Error.
	Call(ctx context.Context, r service.Request) (service.Answer, error)
}

// Tokenizer turns prompts into tokens for routing.
type Tokenizer interface {
	// Tokens returns the tokens of the prompt. Prompts that share a prefix of whole pieces must share its tokens.
	Tokens(prompt []byte) []uint32
}
