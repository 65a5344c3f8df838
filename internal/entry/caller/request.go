package caller

import (
	"time"

	"hornbeamwood/internal/settings/rules"
)

// Request is one completion that a caller asks for.
type Request struct {
	// ID is the request ID in the header Hornbeamwood-Request.
	ID string
	// Workspace is the caller's workspace.
	Workspace string
	// Model is the model that the body names.
	Model rules.Model
	// Rules are the workspace's rules for the model.
	Rules rules.Rules
	// Snapshot holds the settings that apply to the request.
	Snapshot *rules.Snapshot
	// Path is the protocol's path, for example /v1/chat/completions.
	Path string
	// Body is the caller's JSON object with streaming and usage enabled, which engines get unchanged.
	Body []byte
	// Prompt is the text of the messages with their roles, or of the prompt.
	Prompt []byte
	// Tokens are the prompt's tokens according to the Tokenizer.
	Tokens []uint32
	// MaxTokens is the caller's limit for the tokens of the answer; zero means none.
	MaxTokens int
	// Received is when the whole request had arrived.
	Received time.Time
}
