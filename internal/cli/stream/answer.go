package stream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxEvent is the largest event in bytes.
const maxEvent = 1 << 20

// Answer is what a streamed completion brought.
type Answer struct {
	// First is the time to the first event.
	First time.Duration
	// Whole says that the stream ended with its finish marker.
	Whole bool
	// Prompt and Cached are the prompt's tokens and how many of them were not computed.
	Prompt, Cached int64
	// Imported is the number of bytes that the engine read from stores.
	Imported int64
}

// Recomputed returns the share of the prompt that was computed.
func (a Answer) Recomputed() float64 {
	if a.Prompt == 0 {
		return 0
	}
	return 1 - float64(a.Cached)/float64(a.Prompt)
}

// event is the part of a stream's event that is read.
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
	done       = []byte("[DONE]")
)

// Read returns what the server-sent events of r bring; sent is when the request went out.
func Read(r io.Reader, sent time.Time) (Answer, error) {
	var a Answer
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxEvent)
	for s.Scan() {
		data, ok := bytes.CutPrefix(s.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if a.First == 0 {
			a.First = time.Since(sent)
		}
		if bytes.Equal(data, done) {
			a.Whole = true
			continue
		}
		if err := a.add(data); err != nil {
			return a, err
		}
	}
	return a, s.Err()
}

func (a *Answer) add(data []byte) error {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("stream: an event is no JSON: %w", err)
	}
	if e.Usage != nil {
		a.Prompt, a.Cached = e.Usage.Prompt, e.Usage.Details.Cached
	}
	if e.Transfer != nil {
		a.Imported = e.Transfer.Imported
	}
	return nil
}
