// Package wait provides waiting with cancellation by a context.
package wait
