// Package event defines the numbered log events and writes them.
//
// Each area has a file and a range of 100 numbers. docs/EVENTS.md lists every
// event; a test compares the page with the code.
package event
