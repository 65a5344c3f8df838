package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	requestTime = 20 * time.Second
	maxAnswer   = 8 << 20
)

// call is one request of the tour.
type call struct {
	method, url, key, body string
	header                 map[string]string
}

// answer is what came back.
type answer struct {
	status  int
	verdict string
	etag    string
	body    string
	// first is the time to the first event of a stream.
	first time.Duration
	// prompt, cached and imported are what the usage event tells, in tokens, tokens and bytes.
	prompt, cached int
	imported       int64
	// whole says that the stream ended with its finish marker.
	whole bool
}

func (c call) do(ctx context.Context) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, c.method, c.url, strings.NewReader(c.body))
	if err != nil {
		return answer{}, err
	}
	q.Header.Set("Authorization", "Bearer "+c.key)
	for k, v := range c.header {
		q.Header.Set(k, v)
	}
	sent := time.Now()
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return answer{}, err
	}
	defer r.Body.Close()
	a := answer{status: r.StatusCode, verdict: r.Header.Get("Hornbeamwood-Verdict"), etag: r.Header.Get("ETag")}
	if strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		return a, a.read(r.Body, sent)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer))
	a.body = string(b)
	return a, err
}

// event is the part of a stream's event that the tour reads.
type event struct {
	Usage *struct {
		Prompt  int `json:"prompt_tokens"`
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Transfer *struct {
		ImportedBytes int64 `json:"imported-bytes"`
	} `json:"kv_transfer_params"`
}

func (a *answer) read(r io.Reader, sent time.Time) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxAnswer)
	for s.Scan() {
		data, ok := bytes.CutPrefix(s.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if a.first == 0 {
			a.first = time.Since(sent)
		}
		if string(data) == "[DONE]" {
			a.whole = true
			continue
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return fmt.Errorf("an event is no JSON: %w", err)
		}
		if e.Usage != nil {
			a.prompt, a.cached = e.Usage.Prompt, e.Usage.Details.Cached
		}
		if e.Transfer != nil {
			a.imported = e.Transfer.ImportedBytes
		}
	}
	return s.Err()
}

// recomputed returns the share of the prompt that was computed.
func (a answer) recomputed() float64 {
	if a.prompt == 0 {
		return 0
	}
	return 1 - float64(a.cached)/float64(a.prompt)
}

func completion(url, key, model, prompt string) call {
	b, err := json.Marshal(struct {
		Model     string  `json:"model"`
		Prompt    string  `json:"prompt"`
		MaxTokens int     `json:"max_tokens"`
		Stream    bool    `json:"stream"`
		Options   options `json:"stream_options"`
	}{model, prompt, answerTokens, true, options{IncludeUsage: true}})
	if err != nil {
		return call{}
	}
	return call{method: http.MethodPost, url: url + "/v1/completions", key: key, body: string(b)}
}

type options struct {
	IncludeUsage bool `json:"include_usage"`
}

// answerTokens is the length of the tour's answers.
const answerTokens = 8
