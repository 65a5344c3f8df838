package caller

// protocol describes one of the two completion protocols.
type protocol struct {
	path        string
	object      string
	promptField string
	// prompt returns the prompt's text from the field's JSON.
	prompt func(raw []byte) ([]byte, error)
	// delta is the field of a streamed choice that is merged into whole.
	delta string
	whole string
}

var chatProtocol = protocol{
	path:        "/v1/chat/completions",
	object:      "chat.completion",
	promptField: "messages",
	prompt:      chatPrompt,
	delta:       "delta",
	whole:       "message",
}

var textProtocol = protocol{
	path:        "/v1/completions",
	object:      "text_completion",
	promptField: "prompt",
	prompt:      textPrompt,
	delta:       "text",
	whole:       "text",
}
