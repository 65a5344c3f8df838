package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"hornbeamwood/internal/standin/backend"
)

const (
	maxBodyBytes     = 64 << 20
	bytesPerToken    = 4
	defaultMaxTokens = 16
)

// complete starts a run, or resumes one, and streams its events.
func (e *engine) complete(w http.ResponseWriter, q *http.Request, chat bool) {
	attempt := q.Header.Get("Hornbeamwood-Attempt")
	if after := q.Header.Get("Hornbeamwood-Resume-After"); after != "" {
		e.resume(w, q, attempt, after)
		return
	}
	var c completion
	if err := json.NewDecoder(io.LimitReader(q.Body, maxBodyBytes)).Decode(&c); err != nil {
		backend.WriteError(w, http.StatusBadRequest, true, "malformed", err.Error())
		return
	}
	r := newRun(q, c, chat)
	if refusal := e.admit(r, q.Header.Get("Hornbeamwood-Weight-Version")); refusal != "" {
		status := http.StatusServiceUnavailable
		if refusal == "weight-version" || refusal == "attempt-exists" {
			status = http.StatusConflict
		}
		backend.WriteError(w, status, true, refusal, "the engine does not accept this run")
		return
	}
	e.stream(w, q, r, 0)
}

func newRun(q *http.Request, c completion, chat bool) *run {
	text := c.Prompt
	if chat {
		text = string(c.Messages)
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	priority, _ := strconv.Atoi(q.Header.Get("Hornbeamwood-Priority"))
	ctx, cancel := context.WithCancel(context.Background())
	return &run{
		request:      q.Header.Get("Hornbeamwood-Request"),
		attempt:      q.Header.Get("Hornbeamwood-Attempt"),
		chat:         chat,
		body:         c,
		promptTokens: max(1, len(text)/bytesPerToken, len(c.Transfer.Keys)*c.Transfer.PieceTokens),
		priority:     priority,
		ctx:          ctx,
		cancel:       cancel,
		changed:      make(chan struct{}),
	}
}

// admit queues r for prefill, or returns the reason why it does not.
func (e *engine) admit(r *run, version string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return "leaving"
	}
	held, ok := e.versions[r.body.Model]
	if !ok || version != "" && version != held {
		return "weight-version"
	}
	if _, ok := e.runs[r.attempt]; ok {
		return "attempt-exists"
	}
	e.arrivals++
	r.arrival = e.arrivals
	e.runs[r.attempt] = r
	e.waiting = append(e.waiting, r)
	e.queuedTokens += int64(r.promptTokens)
	e.report.Runs++
	e.report.PromptTokens += r.promptTokens
	select {
	case e.work <- struct{}{}:
	default:
	}
	return ""
}

func (e *engine) resume(w http.ResponseWriter, q *http.Request, attempt, after string) {
	n, err := strconv.Atoi(after)
	e.mu.Lock()
	r, ok := e.runs[attempt]
	if ok {
		e.report.Resumed++
	}
	e.mu.Unlock()
	if err != nil || !ok {
		backend.WriteError(w, http.StatusConflict, false, "resume-impossible", "the run is no longer kept")
		return
	}
	e.stream(w, q, r, n)
}

func (e *engine) stream(w http.ResponseWriter, q *http.Request, r *run, position int) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Hornbeamwood-Request", r.request)
	h.Set("Hornbeamwood-Attempt", r.attempt)
	w.WriteHeader(http.StatusOK)
	c := http.NewResponseController(w)
	_ = c.Flush()
	for {
		lines, done, changed := r.after(position)
		for _, l := range lines {
			if _, err := io.WriteString(w, "data: "+l+"\n\n"); err != nil {
				return
			}
		}
		position += len(lines)
		_ = c.Flush()
		if done && len(lines) == 0 {
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			return
		}
		if done {
			continue
		}
		select {
		case <-changed:
		case <-q.Context().Done():
			return
		case <-r.ctx.Done():
			return
		}
	}
}

func (e *engine) cancelRun(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	r, ok := e.runs[q.PathValue("attempt")]
	e.mu.Unlock()
	if !ok {
		backend.WriteError(w, http.StatusNotFound, true, "unknown-run", "the run is unknown")
		return
	}
	r.cancel()
	w.WriteHeader(http.StatusNoContent)
}

// tokenText returns the i-th token of a completion, which identifies the request's prompt.
func (r *run) tokenText(i int, digest string) string {
	return fmt.Sprintf("%s-%d ", digest, i)
}

func (r *run) crashes() bool {
	return strings.Contains(r.body.Prompt, CrashMarker) || strings.Contains(string(r.body.Messages), CrashMarker)
}
