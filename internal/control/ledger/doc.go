// Package ledger is the record of non-idempotent calls, one section of the
// replicated state.
//
// A call is claimed before it is dispatched and its whole outcome is recorded
// before it is answered, so that a resend through any entry finds one of:
// the outcome, the live claim, or a claim whose outcome nobody knows any more.
// Records are split by workspace into shards, each under its own lock.
package ledger
