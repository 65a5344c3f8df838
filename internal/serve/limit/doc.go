// Package limit enforces the request limits that backend servers announce for all entries
// together. Each entry spends its share of a server's requests per second.
package limit
