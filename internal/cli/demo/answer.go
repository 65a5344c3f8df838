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
	stream.Answer
	status  int
	verdict string
	etag    string
	body    string
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
		a.Answer, err = stream.Read(r.Body, sent)
		return a, err
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer))
	a.body = string(b)
	return a, err
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
