package route

// Piece is one cache piece of a prompt with its known locations, which are hints and may be stale.
type Piece struct {
	// Tokens is the number of prompt tokens in the piece.
	Tokens int
	// Bytes is the size of its KV cache.
	Bytes int64
	// Engines are the indexes in Cell.Candidates of the servers that hold the piece in memory.
	Engines []int
	// Copies are the copies of the piece in stores.
	Copies []Copy
}
