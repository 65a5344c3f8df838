package demo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"hornbeamwood/internal/cli/stream"
)

const (
	requestTimeout = 20 * time.Second
	maxResponse    = 8 << 20
)

// apiCall is one HTTP request of the tour.
type apiCall struct {
	method, url, key, body string
	header                 map[string]string
}

// response is the result of an apiCall; its Completion is set for a stream.
type response struct {
	stream.Completion
	status  int
	verdict string
	etag    string
	body    string
}

func (c apiCall) do(ctx context.Context) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, c.method, c.url, strings.NewReader(c.body))
	if err != nil {
		return response{}, err
	}
	q.Header.Set("Authorization", "Bearer "+c.key)
	for k, v := range c.header {
		q.Header.Set(k, v)
	}
	sent := time.Now()
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return response{}, err
	}
	defer r.Body.Close()
	a := response{status: r.StatusCode, verdict: r.Header.Get("Hornbeamwood-Verdict"), etag: r.Header.Get("ETag")}
	if strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		a.Completion, err = stream.Read(r.Body, sent)
		return a, err
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxResponse))
	a.body = string(b)
	return a, err
}

func completion(url, key, model, prompt string) apiCall {
	b, err := json.Marshal(struct {
		Model     string  `json:"model"`
		Prompt    string  `json:"prompt"`
		MaxTokens int     `json:"max_tokens"`
		Stream    bool    `json:"stream"`
		Options   options `json:"stream_options"`
	}{model, prompt, answerTokens, true, options{IncludeUsage: true}})
	if err != nil {
		return apiCall{}
	}
	return apiCall{method: http.MethodPost, url: url + "/v1/completions", key: key, body: string(b)}
}

type options struct {
	IncludeUsage bool `json:"include_usage"`
}

// answerTokens is the number of tokens that each prompt of the tour asks for.
const answerTokens = 8
