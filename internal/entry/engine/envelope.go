package engine

import "encoding/json"

// envelope is the part of an event that is checked.
type envelope struct {
	Choices []choice        `json:"choices"`
	Tag     tag             `json:"hornbeamwood"`
	Error   json.RawMessage `json:"error"`
}

// choice is the part of a choice that is checked.
type choice struct {
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
}

// tag says which attempt an event belongs to and where in it.
type tag struct {
	Request  string `json:"request"`
	Attempt  string `json:"attempt"`
	Position int    `json:"position"`
}

// decode reads one event into e, whose memory is used again. Everything is
// cleared first: a field that an event lacks must not keep the value of the
// event before it.
func (e *envelope) decode(data []byte) error {
	clear(e.Choices[:cap(e.Choices)])
	e.Choices = e.Choices[:0]
	e.Tag = tag{}
	e.Error = e.Error[:0]
	return json.Unmarshal(data, e)
}

// failed reports whether the event is the engine's error.
func (e *envelope) failed() bool {
	return len(e.Error) > 0 && string(e.Error) != "null"
}
