package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// digestDigits is the length of a Digest in hex digits.
const digestDigits = 8

// recordUsage stores the values of the usage event.
func (r *run) recordUsage(cached int, t transferred) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cached = cached
	r.transferred = t
}

// digest returns hex digits that identify the run's prompt.
func (r *run) digest() string {
	return Digest(r.body.Prompt + string(r.body.Messages))
}

// Digest returns the hex digits with which each token of a completion of prompt begins.
func Digest(prompt string) string {
	d := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(d[:])[:digestDigits]
}

func (r *run) token(i int, digest string) string {
	c := choice{}
	text := r.tokenText(i, digest)
	if r.chat {
		c.Delta = &delta{Content: text}
		if i == 1 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	if i == r.body.MaxTokens {
		stop := "stop"
		c.Finish = &stop
	}
	return r.encode(chunk{Choices: []choice{c}}, i)
}

func (r *run) usage() string {
	r.mu.Lock()
	cached, t := r.cached, r.transferred
	r.mu.Unlock()
	u := usage{
		PromptTokens:     r.promptTokens,
		CompletionTokens: r.body.MaxTokens,
		TotalTokens:      r.promptTokens + r.body.MaxTokens,
		Details:          usageDetails{CachedTokens: cached},
	}
	return r.encode(chunk{Choices: []choice{}, Usage: &u, Transfer: &t}, r.body.MaxTokens+1)
}

func (r *run) encode(c chunk, i int) string {
	c.ID = r.request
	c.Object = "text_completion"
	if r.chat {
		c.Object = "chat.completion.chunk"
	}
	c.Created = time.Now().Unix()
	c.Model = r.body.Model
	c.Position = position{Request: r.request, Attempt: r.attempt, Position: i}
	b, err := json.Marshal(c)
	if err != nil {
		return "{}"
	}
	return string(b)
}
