// Package outage tracks the backend servers at which an entry's requests have failed as they do when
// a server is lost.
package outage
