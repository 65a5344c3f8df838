// Package limit enforces the request limits that backend servers announce for all entries
// together, and those of cold and of brittle servers. Each entry spends its share of a server's
// requests per second.
package limit
