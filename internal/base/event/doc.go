// Package event holds the numbered log events and the logger that writes them.
//
// Each area has a file and a hundred of numbers; docs/EVENTS.md lists every
// event and a test holds the two together.
package event
