// Package follower keeps an entry's copy of the settings tree up to date with
// the control log; the copy never goes back to an older revision.
package follower
