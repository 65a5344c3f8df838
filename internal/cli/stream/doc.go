// Package stream reads the streamed completions of an entry as a caller does.
package stream
