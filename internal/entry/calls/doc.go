// Package calls shows operators the non-idempotent calls whose outcome nobody
// knows, and takes what they found out about them.
package calls
