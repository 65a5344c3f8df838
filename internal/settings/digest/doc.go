// Package digest holds the SHA-256 digests under which the keys of callers,
// operators and backend servers are stored.
package digest
