package caller

import (
	"context"

	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/settings/rules"
)

// Snapshots gives the settings in force.
type Snapshots interface {
	// Current returns the settings that new work runs under; a verdict.Error when their lease ran out.
	Current() (*rules.Snapshot, error)
}

// Completer runs completions.
type Completer interface {
	// Complete returns the stream of one completion or a verdict.Error; the run ends with ctx.
	Complete(ctx context.Context, r Request) (Stream, error)
}

// Stream is one completion's answer.
type Stream interface {
	// Next returns the JSON of the next event, valid until the next call; io.EOF after the whole answer; else a verdict.Error.
	Next() ([]byte, error)
	// Close ends the stream and cancels the run when it isn't whole.
	Close()
}

// Services calls plain services.
type Services interface {
	// Call returns the whole answer to r or a verdict.Error.
	Call(ctx context.Context, r service.Request) (service.Answer, error)
}

// Tokenizer turns prompts into tokens for routing.
type Tokenizer interface {
	// Tokens returns the tokens of the prompt; a prompt's prefix of whole pieces gives a prefix of its tokens.
	Tokens(prompt []byte) []uint32
}
