// Package digest defines the SHA-256 digests as which the keys of callers,
// operators and backend servers are stored.
package digest
