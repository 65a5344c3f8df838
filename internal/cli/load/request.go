package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"hornbeamwood/internal/cli/stream"
	"hornbeamwood/internal/load/workload"
)

const (
	// bytesPerToken is the ratio by which entries and stand-ins estimate the tokens of a text.
	bytesPerToken  = 4
	requestTimeout = 3 * time.Minute
)

// prompt returns the prompt of an arrival; equal pieces give equal text.
func prompt(d *workload.Deployment, a workload.Arrival) string {
	var b strings.Builder
	for _, k := range a.Pieces {
		repeatTo(&b, fmt.Sprintf("%016x ", k), d.PieceTokens*bytesPerToken)
	}
	repeatTo(&b, fmt.Sprintf("question %d ", a.Number), a.Tail*bytesPerToken)
	return b.String()
}

// repeatTo writes word repeatedly until size bytes are written.
func repeatTo(b *strings.Builder, word string, size int) {
	whole := size / len(word)
	for range whole {
		b.WriteString(word)
	}
	b.WriteString(word[:size-whole*len(word)])
}

type body struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Options   streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// newRequest returns the HTTP request of an arrival.
func newRequest(ctx context.Context, c Config, d *workload.Deployment, a workload.Arrival, entry string) (*http.Request, error) {
	class := d.Classes[a.Class]
	if class.Service != "" {
		return newServiceRequest(ctx, c, class, a, entry)
	}
	b, err := json.Marshal(body{
		Model: class.Name, Prompt: prompt(d, a), MaxTokens: max(1, a.Answer),
		Stream: true, Options: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/completions", bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Authorization", "Bearer "+c.apiKey(a.Workspace))
	return q, nil
}

func newServiceRequest(ctx context.Context, c Config, class workload.Class, a workload.Arrival, entry string) (*http.Request, error) {
	method := http.MethodGet
	if class.Rules.NonIdempotent {
		method = http.MethodPost
	}
	q, err := http.NewRequestWithContext(ctx, method, entry+"/services/"+class.Service+"/"+class.Name, strings.NewReader(""))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+c.apiKey(a.Workspace))
	if class.Rules.NonIdempotent {
		q.Header.Set("Idempotency-Key", fmt.Sprintf("load-%d-%d-%d", c.Seed, time.Now().UnixNano(), a.Number))
	}
	return q, nil
}

// send sends one request and returns its outcome.
func send(client *http.Client, q *http.Request, class string) outcome {
	o := outcome{class: class}
	sent := time.Now()
	r, err := client.Do(q)
	if err != nil {
		return o
	}
	defer r.Body.Close()
	o.status = r.StatusCode
	o.verdict = r.Header.Get("Hornbeamwood-Verdict")
	if !strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		_, err := io.Copy(io.Discard, r.Body)
		o.first = time.Since(sent)
		o.whole = err == nil && r.StatusCode/100 == 2
		return o
	}
	a, err := stream.Read(r.Body, sent)
	o.first, o.whole = a.FirstEvent, a.Complete && err == nil
	o.prompt, o.cached, o.imported = a.PromptTokens, a.CachedTokens, a.ImportedBytes
	return o
}
