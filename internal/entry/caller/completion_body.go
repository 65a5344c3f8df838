package caller

import (
	"bytes"
	"encoding/json"
	"net/http"

	"hornbeamwood/internal/base/verdict"
)

const (
	maxChoices = 128
	maxTokens  = 1 << 24
)

// completionBody is a parsed body.
type completionBody struct {
	model     string
	stream    bool
	usage     bool
	maxTokens int
	prompt    []byte
	forward   []byte
}

// knownFields are the fields that the entry reads; all others are forwarded unchanged.
type knownFields struct {
	Model               string        `json:"model"`
	Stream              *bool         `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Choices             *int          `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// parseCompletion returns the parsed body, or a refusal that names the invalid field.
func parseCompletion(p protocol, b []byte) (completionBody, error) {
	fields, err := splitBody(b)
	if err != nil {
		return completionBody{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "invalid-json", "the body is no JSON object").WithCause(err)
	}
	known, err := parseKnown(fields)
	if err != nil {
		return completionBody{}, err
	}
	prompt, err := p.prompt(fields.get(p.promptField))
	if err != nil {
		return completionBody{}, invalidField(p.promptField, "%s", err)
	}
	forward, err := forwardBody(fields)
	if err != nil {
		return completionBody{}, invalidField("stream_options", "stream_options must be an object")
	}
	return completionBody{
		model:     known.Model,
		stream:    known.Stream != nil && *known.Stream,
		usage:     known.StreamOptions.IncludeUsage,
		maxTokens: first(known.MaxCompletionTokens, known.MaxTokens),
		prompt:    prompt,
		forward:   forward,
	}, nil
}

// parseKnown reads the known fields by their exact names. The decoder of the
// standard library matches names regardless of case, so that it accepts "Model"
// for model, and engines don't.
func parseKnown(fields bodyFields) (knownFields, error) {
	var k knownFields
	targets := []struct {
		name   string
		target any
	}{
		{"model", &k.Model},
		{"stream", &k.Stream},
		{"stream_options", &k.StreamOptions},
		{"max_tokens", &k.MaxTokens},
		{"max_completion_tokens", &k.MaxCompletionTokens},
		{"n", &k.Choices},
	}
	for _, t := range targets {
		raw := fields.get(t.name)
		if raw == nil {
			continue
		}
		if err := json.Unmarshal(raw, t.target); err != nil {
			return k, invalidField(t.name, "%s has the wrong type", t.name)
		}
	}
	return k, k.check()
}

func (k knownFields) check() error {
	if k.Model == "" {
		return invalidField("model", "model is missing")
	}
	if k.Choices != nil && (*k.Choices < 1 || *k.Choices > maxChoices) {
		return invalidField("n", "n must be from 1 to %d", maxChoices)
	}
	if t := first(k.MaxCompletionTokens, k.MaxTokens); t < 0 || t > maxTokens {
		return invalidField("max_tokens", "max_tokens is out of range")
	}
	return nil
}

// forwardBody returns the body for the engine, which always requests streaming with usage.
func forwardBody(fields bodyFields) ([]byte, error) {
	var options bodyFields
	if raw := fields.get("stream_options"); raw != nil && !bytes.Equal(raw, []byte("null")) {
		var err error
		if options, err = splitBody(raw); err != nil {
			return nil, err
		}
	}
	options = options.with("include_usage", []byte("true"))
	return fields.
		with("stream_options", options.object()).
		with("stream", []byte("true")).
		object(), nil
}

func first(values ...*int) int {
	for _, v := range values {
		if v != nil {
			return *v
		}
	}
	return 0
}
