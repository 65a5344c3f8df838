// Package store is a stand-in for a store VM. It keeps opaque pieces in a memory
// tier and a disk tier behind one rate-limited link, as specified in
// docs/interfaces/cache.md.
package store
