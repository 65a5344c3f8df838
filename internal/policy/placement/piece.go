package placement

// Piece is a cache piece that the engine holds after a run.
type Piece struct {
	// Key is a hash of the piece's identity.
	Key uint64
	// Tokens is the number of prompt tokens in the piece.
	Tokens int
	// Bytes is the size of its KV cache.
	Bytes int64
	// Stored reports that a live store is known to hold the piece.
	Stored bool
}
