package event

import (
	"fmt"
	"slices"

	"github.com/apex/log"
)

// Event is a kind of log line with its number, name, level and meaning.
type Event struct {
	// Number is unique and never reused.
	Number int
	// Name is the message of the log line, in kebab case.
	Name string
	// Level is the level at which the event is written.
	Level log.Level
	// Meaning is the description in docs/EVENTS.md.
	Meaning string
}

// NumberField is the name of the log field that carries an event's number.
const NumberField = "event"

var catalogue = map[int]Event{}

// define adds an event to the catalogue. It panics at program start if a number is used twice.
func define(number int, level log.Level, name, meaning string) Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	if previous, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event: %d is both %s and %s", number, previous.Name, name))
	}
	catalogue[number] = e
	return e
}

// Write logs e with the given fields; a nil logger writes nothing.
func (e Event) Write(l log.Interface, fields log.Fields) {
	if l == nil {
		return
	}
	entry := l.WithFields(fields).WithField(NumberField, e.Number)
	switch e.Level {
	case log.DebugLevel:
		entry.Debug(e.Name)
	case log.WarnLevel:
		entry.Warn(e.Name)
	case log.ErrorLevel, log.FatalLevel:
		entry.Error(e.Name)
	default:
		entry.Info(e.Name)
	}
}

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}
