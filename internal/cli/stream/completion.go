package stream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxEventBytes is the size of the largest event.
const maxEventBytes = 1 << 20

// Completion is the result of a streamed completion.
type Completion struct {
	// FirstEvent is the time to the first event.
	FirstEvent time.Duration
	// Complete reports whether the stream ended with its end marker.
	Complete bool
	// PromptTokens counts the tokens of the prompt, CachedTokens those that the engine did not compute.
	PromptTokens, CachedTokens int64
	// ImportedBytes counts the bytes that the engine fetched from stores.
	ImportedBytes int64
}

// RecomputedShare returns the share of the prompt that the engine computed.
func (a Completion) RecomputedShare() float64 {
	if a.PromptTokens == 0 {
		return 0
	}
	return 1 - float64(a.CachedTokens)/float64(a.PromptTokens)
}

// event holds the fields of a streamed event that are used.
type event struct {
	Usage *struct {
		Prompt  int64 `json:"prompt_tokens"`
		Details struct {
			Cached int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Transfer *struct {
		Imported int64 `json:"imported-bytes"`
	} `json:"kv_transfer_params"`
}

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// Read reads the server-sent events of r until it ends; sent is when the request was sent.
func Read(r io.Reader, sent time.Time) (Completion, error) {
	var a Completion
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxEventBytes)
	for s.Scan() {
		data, ok := bytes.CutPrefix(s.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if a.FirstEvent == 0 {
			a.FirstEvent = time.Since(sent)
		}
		if bytes.Equal(data, doneMarker) {
			a.Complete = true
			continue
		}
		if err := a.add(data); err != nil {
			return a, err
		}
	}
	return a, s.Err()
}

func (a *Completion) add(data []byte) error {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("stream: event is not valid JSON: %w", err)
	}
	if e.Usage != nil {
		a.PromptTokens, a.CachedTokens = e.Usage.Prompt, e.Usage.Details.Cached
	}
	if e.Transfer != nil {
		a.ImportedBytes = e.Transfer.Imported
	}
	return nil
}
