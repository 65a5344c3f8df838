// Package store speaks the HTTP object protocol of store VMs, for what an
// entry itself must do: look up, list and delete pieces and read the usage.
//
// Engines write and read the pieces; docs/interfaces/cache.md lists the
// protocol.
package store
