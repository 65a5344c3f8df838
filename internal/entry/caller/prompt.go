package caller

import (
	"bytes"
	"encoding/json"
	"errors"

	"hornbeamwood/internal/base/jsonscan"
)

// message is the part of a chat message that makes up the prompt.
type message struct {
	role    []byte
	content []byte
	calls   []byte
}

// parseMessage returns the role, content and tool calls of a message.
func parseMessage(raw []byte) (message, error) {
	var m message
	err := jsonscan.Members(raw, func(name, value []byte) (err error) {
		switch string(name) {
		case "role":
			m.role, err = jsonscan.Text(value)
		case "content":
			m.content = value
		case "tool_calls":
			m.calls = value
		}
		return err
	})
	if err != nil || len(m.role) == 0 {
		return m, errMessages
	}
	return m, nil
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

// chatPrompt returns the roles and texts of the messages in order. Each is
// terminated by a zero byte, so that a text can't be mistaken for a role.
func chatPrompt(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(len(raw))
	err := jsonscan.Elements(raw, func(element []byte) error {
		m, err := parseMessage(element)
		if err != nil {
			return err
		}
		b.Write(m.role)
		b.WriteByte(0)
		if err := appendContent(&b, m.content); err != nil {
			return err
		}
		b.Write(m.calls)
		b.WriteByte(0)
		return nil
	})
	if errors.Is(err, jsonscan.ErrSyntax) || (err == nil && b.Len() == 0) {
		return nil, errMessages
	}
	return b.Bytes(), err
}

func appendContent(b *bytes.Buffer, raw []byte) error {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	if text, err := jsonscan.Text(raw); err == nil {
		b.Write(text)
		return nil
	}
	err := jsonscan.Elements(raw, func(p []byte) error { return appendPart(b, p) })
	if errors.Is(err, jsonscan.ErrSyntax) {
		return errContent
	}
	return err
}

// appendPart appends the text of a part, or the whole part if it isn't text:
// prompts that differ only in an image must not be equal.
func appendPart(b *bytes.Buffer, raw []byte) error {
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

// textPrompt returns the prompt's text; for a list, it returns the compact JSON.
func textPrompt(raw []byte) ([]byte, error) {
	if text, err := jsonscan.Text(raw); err == nil {
		return text, nil
	}
	elements := 0
	err := jsonscan.Elements(raw, func([]byte) error {
		elements++
		return nil
	})
	if err != nil || elements == 0 {
		return nil, errPrompt
	}
	var b bytes.Buffer
	b.Grow(len(raw))
	if err := json.Compact(&b, raw); err != nil {
		return nil, errPrompt
	}
	return b.Bytes(), nil
}
