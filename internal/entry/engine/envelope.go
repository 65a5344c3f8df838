package engine

import (
	"encoding/json"
	"strconv"

	"hornbeamwood/internal/base/jsonscan"
)

// envelope is the part of an event that is checked.
type envelope struct {
	choices []choice
	tag     tag
	fault   []byte
	// The walkers are made once: one made for each event would cost an
	// allocation for each token.
	ofEvent, ofTag, ofChoice func(name, value []byte) error
	ofChoices                func(value []byte) error
}

// choice is the part of a choice that is checked.
type choice struct {
	index    int
	finished bool
}

// tag says which attempt an event belongs to and where in it. Its texts are
// valid as long as the event is.
type tag struct {
	request  []byte
	attempt  []byte
	position int
}

func newEnvelope() *envelope {
	e := &envelope{}
	e.ofEvent = e.event
	e.ofTag = e.tagged
	e.ofChoice = e.chosen
	e.ofChoices = func(value []byte) error {
		e.choices = append(e.choices, choice{})
		return jsonscan.Members(value, e.ofChoice)
	}
	return e
}

// decode reads one event into e, whose memory is used again. Everything is
// cleared first: a field that an event lacks must not keep the value of the
// event before it.
func (e *envelope) decode(data []byte) error {
	e.choices = e.choices[:0]
	e.tag = tag{}
	e.fault = nil
	if !json.Valid(data) {
		return errMalformed
	}
	return jsonscan.Members(data, e.ofEvent)
}

func (e *envelope) event(name, value []byte) error {
	switch string(name) {
	case "choices":
		e.choices = e.choices[:0]
		if isNull(value) {
			return nil
		}
		return jsonscan.Elements(value, e.ofChoices)
	case "hornbeamwood":
		e.tag = tag{}
		return jsonscan.Members(value, e.ofTag)
	case "error":
		e.fault = value
	}
	return nil
}

func (e *envelope) tagged(name, value []byte) (err error) {
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

func (e *envelope) chosen(name, value []byte) (err error) {
	c := &e.choices[len(e.choices)-1]
	switch string(name) {
	case "index":
		c.index, err = number(value)
	case "finish_reason":
		c.finished = !isNull(value)
	}
	return err
}

// failed reports whether the event is the engine's error.
func (e *envelope) failed() bool {
	return len(e.fault) > 0 && !isNull(e.fault)
}

func isNull(value []byte) bool {
	return string(value) == "null"
}

func number(value []byte) (int, error) {
	return strconv.Atoi(string(value))
}
