package caller

import (
	"bytes"
	"encoding/json"
	"errors"
)

// message is the part of a chat message that makes up the prompt.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
	Calls   json.RawMessage `json:"tool_calls"`
}

// part is one part of a message's content.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

var (
	errMessages = errors.New("messages must be a list of at least one message with a role")
	errContent  = errors.New("content must be a string, a list of parts or null")
	errPrompt   = errors.New("prompt must be a string or a list of strings or tokens")
)

// chatPrompt returns roles and texts one after the other, each closed by a zero
// byte, so that no text can pass for a role.
func chatPrompt(raw []byte) ([]byte, error) {
	var messages []message
	if err := json.Unmarshal(raw, &messages); err != nil || len(messages) == 0 {
		return nil, errMessages
	}
	var b bytes.Buffer
	for _, m := range messages {
		if m.Role == "" {
			return nil, errMessages
		}
		b.WriteString(m.Role)
		b.WriteByte(0)
		if err := appendContent(&b, m.Content); err != nil {
			return nil, err
		}
		b.Write(m.Calls)
		b.WriteByte(0)
	}
	return b.Bytes(), nil
}

func appendContent(b *bytes.Buffer, raw []byte) error {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		b.WriteString(text)
		return nil
	}
	var parts []json.RawMessage
	if json.Unmarshal(raw, &parts) != nil {
		return errContent
	}
	for _, p := range parts {
		if err := appendPart(b, p); err != nil {
			return err
		}
	}
	return nil
}

// appendPart adds a part's text, or the whole part when it isn't text: two
// prompts that differ in a picture only must not look equal.
func appendPart(b *bytes.Buffer, raw json.RawMessage) error {
	var p part
	if json.Unmarshal(raw, &p) != nil {
		return errContent
	}
	if p.Type == "text" {
		b.WriteString(p.Text)
		return nil
	}
	return json.Compact(b, raw)
}

// textPrompt returns the prompt's text; a list is taken as its compact JSON.
func textPrompt(raw []byte) ([]byte, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && string(raw) != "null" {
		return []byte(text), nil
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil || len(list) == 0 {
		return nil, errPrompt
	}
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		return nil, errPrompt
	}
	return b.Bytes(), nil
}
