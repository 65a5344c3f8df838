package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/settings/rules"
)

// promptFactor is what is made of a body, in multiples of its size: the prompt, its tokens and the engine's request.
const promptFactor = 3

// completions returns the function that serves completions of the given protocol.
func (h *handler) completions(p protocol) func(*exchange) {
	return func(x *exchange) {
		if err := x.complete(p); err != nil {
			x.refuse(err)
		}
	}
}

// complete serves a completion; it returns an error only when no answer has been sent yet.
func (x *exchange) complete(p protocol) error {
	b, err := x.body(x.largestBody())
	if err != nil {
		return err
	}
	if err := x.reserve(promptFactor * int64(len(b))); err != nil {
		return err
	}
	body, err := parseCompletion(p, b)
	if err != nil {
		return err
	}
	model, ok := x.snapshot.Models[body.model]
	r, allowed := x.workspace.Models[body.model]
	if !ok || !allowed {
		return unknownModel()
	}
	if int64(len(b)) > maxBody(r) {
		return tooLarge(maxBody(r))
	}
	done, err := x.enter(r)
	if err != nil {
		return err
	}
	defer done()
	stream, err := x.handler.Completer.Complete(x.request.Context(), x.newRequest(p, body, model, r))
	if err != nil {
		return err
	}
	defer stream.Close()
	if body.stream {
		return x.relay(stream, body.usage)
	}
	return x.collect(stream, p)
}

func (x *exchange) newRequest(p protocol, body completionBody, m rules.Model, r rules.Rules) Request {
	return Request{
		ID:        x.id,
		Workspace: x.workspace.Name,
		Model:     m,
		Rules:     r,
		Snapshot:  x.snapshot,
		Path:      p.path,
		Body:      body.forward,
		Prompt:    body.prompt,
		Tokens:    x.handler.Tokenizer.Tokens(body.prompt),
		MaxTokens: body.maxTokens,
		Received:  x.handler.Now(),
	}
}

// largestBody returns the limit before the model is known.
func (x *exchange) largestBody() int64 {
	var limit int64
	for _, r := range x.workspace.Models {
		limit = max(limit, maxBody(r))
	}
	if limit == 0 {
		return defaultMaxBody
	}
	return limit
}

var (
	dataPrefix = []byte("data: ")
	dataEnd    = []byte("\n\n")
	doneEvent  = []byte("data: [DONE]\n\n")
)

// relay forwards the events of the stream. It waits for the first one before it
// sends the status, so that a refusal can still have its own status.
func (x *exchange) relay(s Stream, usage bool) error {
	data, err := s.Next()
	if err != nil {
		return endedEarly(err)
	}
	h := x.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(verdict.Header, verdict.Ran.String())
	x.writer.WriteHeader(http.StatusOK)
	out := newEventWriter(x)
	for err == nil {
		if usage || !isUsageOnly(data) {
			err = out.write(data)
		}
		if err != nil {
			return nil
		}
		data, err = s.Next()
	}
	x.end(out, err)
	return nil
}

// end ends a stream with [DONE], or with an error event when the answer isn't complete.
func (x *exchange) end(out *eventWriter, err error) {
	if errors.Is(err, io.EOF) {
		out.finish(doneEvent)
		x.served(http.StatusOK)
		return
	}
	e := asError(err)
	b, merr := json.Marshal(newErrorBody(e))
	if merr != nil {
		return
	}
	_ = out.write(b)
	x.logErrorEvent(e)
}

// endedEarly returns the refusal for a stream that ended before its first event.
func endedEarly(err error) error {
	if errors.Is(err, io.EOF) {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "empty-answer", "the answer was empty")
	}
	return err
}

var usageField = []byte(`"usage"`)

// isUsageOnly reports whether the event carries only usage. Callers that didn't
// request usage don't expect such an event: their clients read the first choice
// of each event.
func isUsageOnly(data []byte) bool {
	if !bytes.Contains(data, usageField) {
		return false
	}
	var u struct {
		Choices []json.RawMessage `json:"choices"`
	}
	return json.Unmarshal(data, &u) == nil && len(u.Choices) == 0
}
