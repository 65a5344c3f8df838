// Package engine runs streamed completions at model engines over HTTP/1.1 and
// server-sent events.
//
// Each event is checked to belong to the attempt and to follow the one before
// it; what does not is never passed on. docs/interfaces/engine.md lists the
// wire format.
package engine
