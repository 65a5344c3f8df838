// Package backend speaks with backend servers over HTTP: it takes their
// announcements and cache events, and sends orders and exports to engines.
//
// docs/interfaces/backend.md and docs/interfaces/cache.md list the formats
// field by field.
package backend
