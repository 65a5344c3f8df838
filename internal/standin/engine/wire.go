package engine

import "encoding/json"

// completion holds the fields that the engine uses of the body of both completion paths.
type completion struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Transfer  transfer        `json:"kv_transfer_params"`
}

type transfer struct {
	WeightVersion string         `json:"weight-version"`
	PieceTokens   int            `json:"piece-tokens"`
	Keys          []string       `json:"keys"`
	Imports       []importSource `json:"imports"`
}

type importSource struct {
	Key        string `json:"key"`
	Store      string `json:"store"`
	Generation uint64 `json:"generation"`
	Bytes      int    `json:"bytes"`
}

type transferred struct {
	ImportedTokens int      `json:"imported-tokens"`
	ImportedBytes  int      `json:"imported-bytes"`
	Failed         []string `json:"failed"`
}

type chunk struct {
	ID       string       `json:"id"`
	Object   string       `json:"object"`
	Created  int64        `json:"created"`
	Model    string       `json:"model"`
	Choices  []choice     `json:"choices"`
	Usage    *usage       `json:"usage,omitempty"`
	Transfer *transferred `json:"kv_transfer_params,omitempty"`
	Position position     `json:"hornbeamwood"`
}

type choice struct {
	Index  int     `json:"index"`
	Delta  *delta  `json:"delta,omitempty"`
	Text   *string `json:"text,omitempty"`
	Finish *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type position struct {
	Request  string `json:"request"`
	Attempt  string `json:"attempt"`
	Position int    `json:"position"`
}

// Report is the response to GET /standin/report, for tests.
type Report struct {
	// Runs is the number of runs that began.
	Runs int `json:"runs"`
	// PromptTokens is the number of prompt tokens of all runs.
	PromptTokens int `json:"prompt-tokens"`
	// ComputedTokens is the number of prompt tokens that this engine computed.
	ComputedTokens int `json:"computed-tokens"`
	// ImportedBytes is the number of bytes fetched from stores.
	ImportedBytes int `json:"imported-bytes"`
	// WrongPieces is the number of imported pieces with the bytes of another key.
	WrongPieces int `json:"wrong-pieces"`
	// Resumed is the number of runs that were resumed.
	Resumed int `json:"resumed"`
}
