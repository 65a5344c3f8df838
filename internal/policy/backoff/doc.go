// Package backoff tracks the backend servers that have told a process by Retry-After to send them nothing for a while.
package backoff
