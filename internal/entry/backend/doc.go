// Package backend implements the HTTP interface to backend servers: it accepts
// their announcements and cache events, and sends orders and exports to engines.
//
// docs/interfaces/backend.md and docs/interfaces/cache.md specify the formats
// field by field.
package backend
