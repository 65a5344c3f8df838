// Package stream reads streamed completions from an entry as a caller does.
package stream
