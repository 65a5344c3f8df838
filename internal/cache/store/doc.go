// Package store is a client of the HTTP object protocol of store VMs for the
// operations of an entry: look up, list and delete pieces and read the usage.
//
// Engines write and read the pieces; docs/interfaces/cache.md specifies the
// protocol.
package store
