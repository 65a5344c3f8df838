package engine

import (
	"encoding/json"
	"strconv"

	"hornbeamwood/internal/base/jsonscan"
)

// envelope is the part of an event that is checked.
type envelope struct {
	choices    []choice
	tag        tag
	errorValue []byte
	// The callbacks are created once; creating them for each event would cost
	// an allocation per token.
	onEventMember, onTagMember, onChoiceMember func(name, value []byte) error
	onChoice                                   func(value []byte) error
}

// choice is the part of a choice that is checked.
type choice struct {
	index    int
	finished bool
}

// tag identifies the attempt of an event and its position there. Its byte slices
// are valid as long as the event is.
type tag struct {
	request  []byte
	attempt  []byte
	position int
}

func newEnvelope() *envelope {
	e := &envelope{}
	e.onEventMember = e.decodeEventMember
	e.onTagMember = e.decodeTagMember
	e.onChoiceMember = e.decodeChoiceMember
	e.onChoice = func(value []byte) error {
		e.choices = append(e.choices, choice{})
		return jsonscan.Members(value, e.onChoiceMember)
	}
	return e
}

// decode decodes one event into e and reuses its memory. It clears all fields
// first, so that a field that is missing in an event does not keep the value of
// the previous event.
func (e *envelope) decode(data []byte) error {
	e.choices = e.choices[:0]
	e.tag = tag{}
	e.errorValue = nil
	if !json.Valid(data) {
		return errMalformed
	}
	return jsonscan.Members(data, e.onEventMember)
}

func (e *envelope) decodeEventMember(name, value []byte) error {
	switch string(name) {
	case "choices":
		e.choices = e.choices[:0]
		if isNull(value) {
			return nil
		}
		return jsonscan.Elements(value, e.onChoice)
	case "hornbeamwood":
		e.tag = tag{}
		return jsonscan.Members(value, e.onTagMember)
	case "error":
		e.errorValue = value
	}
	return nil
}

func (e *envelope) decodeTagMember(name, value []byte) (err error) {
	switch string(name) {
	case "request":
		e.tag.request, err = jsonscan.Text(value)
	case "attempt":
		e.tag.attempt, err = jsonscan.Text(value)
	case "position":
		e.tag.position, err = number(value)
	}
	return err
}

func (e *envelope) decodeChoiceMember(name, value []byte) (err error) {
	c := &e.choices[len(e.choices)-1]
	switch string(name) {
	case "index":
		c.index, err = number(value)
	case "finish_reason":
		c.finished = !isNull(value)
	}
	return err
}

// failed reports whether the event is an error of the engine.
func (e *envelope) failed() bool {
	return len(e.errorValue) > 0 && !isNull(e.errorValue)
}

func isNull(value []byte) bool {
	return string(value) == "null"
}

func number(value []byte) (int, error) {
	return strconv.Atoi(string(value))
}
