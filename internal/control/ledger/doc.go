// Package ledger records non-idempotent calls in one section of the
// replicated state.
//
// An entry claims a call before it dispatches it and records the complete
// outcome before it answers the caller. A resend through any entry therefore
// finds the outcome, the live claim, or a claim whose outcome is unknown.
// Records are sharded by workspace, and each shard has its own lock.
package ledger
