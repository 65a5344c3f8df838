package ledger

import "time"

const (
	// Name is the section's name in commands and queries.
	Name = "ledger"
	// MaxBody is the largest recorded response body in bytes.
	MaxBody = 256 << 10
	// MaxKey is the longest Idempotency-Key in bytes.
	MaxKey = 256
	// MaxHeaders is the largest number of recorded headers.
	MaxHeaders = 16
	// MaxHeaderBytes is the largest sum of the recorded headers' names and values in bytes.
	MaxHeaderBytes = 8 << 10

	shardCount = 64
	// expiryBatch is the largest number of expired records that one command
	// removes, so that no command has to scan all records.
	expiryBatch       = 8
	sweepShards       = 8
	releasedRetention = 10 * time.Minute
	busyRetry         = time.Second
	minRetention      = time.Minute
	maxUnknown        = 1000
)
