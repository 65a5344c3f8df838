// Package engine runs streamed completions at model engines over HTTP/1.1 and
// server-sent events.
//
// Each event is checked to belong to the attempt and to follow the previous one;
// other events are never forwarded. docs/interfaces/engine.md specifies the wire
// format.
package engine
