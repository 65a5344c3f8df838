package caller

import (
	"time"

	"hornbeamwood/internal/settings/rules"
)

// Request is one completion that a caller asks for.
type Request struct {
	// ID is the id in the header Hornbeamwood-Request.
	ID string
	// Workspace is the caller's workspace.
	Workspace string
	// Model is the model that the body names.
	Model rules.Model
	// Rules are the workspace's rules for the model.
	Rules rules.Rules
	// Snapshot is the settings that the request runs under.
	Snapshot *rules.Snapshot
	// Path is the protocol's path, for example /v1/chat/completions.
	Path string
	// Body is the caller's JSON object with stream and usage switched on; engines get it as it is.
	Body []byte
	// Prompt is the text of the messages with their roles, or of the prompt.
	Prompt []byte
	// Tokens are the prompt's tokens as the Tokenizer gives them.
	Tokens []uint32
	// MaxTokens is the longest answer that the caller wants, zero when it doesn't say.
	MaxTokens int
	// Received is when the request had arrived whole.
	Received time.Time
}
