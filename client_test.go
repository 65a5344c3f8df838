package hornbeamwood_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answer is the response or the error of one HTTP request of a test.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call is one HTTP request of a test.
type call struct {
	method, url, key, body string
	header                 map[string]string
}

// client times out like the tests' waits, so that a hung server shows as a failed request.
var client = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func (c call) do() answer {
	q, err := http.NewRequest(c.method, c.url, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	q.Header.Set("Authorization", "Bearer "+c.key)
	for k, v := range c.header {
		q.Header.Set(k, v)
	}
	r, err := client.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: string(b), err: err}
}

// doUntilServed repeats the call while it is refused as not run with a time to come
// back, as a caller does when the settings lease of its entry has run out.
func (c call) doUntilServed(t *testing.T) answer {
	t.Helper()
	var a answer
	eventually(t, "the call is not refused any more", func() bool {
		a = c.do()
		refused := a.status == http.StatusServiceUnavailable && a.header.Get("Hornbeamwood-Verdict") == "not-run" && a.header.Get("Retry-After") != ""
		return !refused
	})
	return a
}

// completion is the result of a streamed completion.
type completion struct {
	status int
	text   string
	done   bool
	cached int
	raw    string
}

type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// completion decodes a body of server-sent events.
func (a answer) completion() completion {
	c := completion{status: a.status, raw: a.body}
	s := bufio.NewScanner(strings.NewReader(a.body))
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			c.done = true
			continue
		}
		var k chunk
		if json.Unmarshal([]byte(data), &k) != nil {
			continue
		}
		for _, x := range k.Choices {
			c.text += x.Text + x.Delta.Content
		}
		if k.Usage != nil {
			c.cached = k.Usage.Details.Cached
		}
	}
	return c
}

// complete sends a streamed completion.
func complete(h *host, key, model, prompt string, tokens int) completion {
	b, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "stream": true, "max_tokens": tokens, "stream_options": map[string]bool{"include_usage": true}})
	if err != nil {
		return completion{raw: err.Error()}
	}
	a := call{method: http.MethodPost, url: h.url() + "/v1/completions", key: key, body: string(b)}.do()
	if a.err != nil {
		return completion{raw: a.err.Error()}
	}
	return a.completion()
}

// getJSON requests a URL of a stand-in and decodes the JSON response.
func getJSON[T any](t *testing.T, url string) T {
	t.Helper()
	var v T
	r, err := (&http.Client{Timeout: 10 * time.Second}).Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		t.Fatal(err)
	}
	return v
}

// quick sends a request to a process that may be suspended, and returns an empty answer after a second.
func quick(c call) answer {
	answers := make(chan answer, 1)
	go func() { answers <- c.do() }()
	select {
	case a := <-answers:
		return a
	case <-time.After(time.Second):
		return answer{}
	}
}
