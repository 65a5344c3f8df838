package process

import "cmp"

// Defaults for settings that a file omits: a small engine and a small store.
const (
	defaultPrefillRate = 10_000
	defaultDecodeRate  = 50
	defaultMaxRunning  = 64
	defaultCachePieces = 256
	defaultPieceBytes  = 1 << 20
	defaultMemoryBytes = 1 << 30
	defaultDiskBytes   = 4 << 30
	defaultLinkRate    = 100 << 20
)

// withDefaults returns a copy of f in which each rate and size has a value.
// An engine with rate zero would accept requests and never complete one.
func (f File) withDefaults() File {
	e, s := &f.Engine, &f.Store
	e.PrefillRate = cmp.Or(e.PrefillRate, defaultPrefillRate)
	e.DecodeRate = cmp.Or(e.DecodeRate, defaultDecodeRate)
	e.MaxRunning = cmp.Or(e.MaxRunning, defaultMaxRunning)
	e.CachePieces = cmp.Or(e.CachePieces, defaultCachePieces)
	e.PieceBytes = cmp.Or(e.PieceBytes, defaultPieceBytes)
	s.MemoryBytes = cmp.Or(s.MemoryBytes, defaultMemoryBytes)
	s.DiskBytes = cmp.Or(s.DiskBytes, defaultDiskBytes)
	s.LinkRate = cmp.Or(s.LinkRate, defaultLinkRate)
	return f
}
