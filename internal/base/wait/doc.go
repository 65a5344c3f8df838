// Package wait pauses for a time that a context may end.
package wait
