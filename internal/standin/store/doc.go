// Package store is a stand-in of a store VM: opaque pieces in a memory and a
// disk tier behind one limited link, as docs/interfaces/cache.md says.
package store
