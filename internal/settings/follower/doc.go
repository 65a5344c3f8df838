// Package follower keeps an entry's copy of the settings tree up to date with the
// control log. The copy never returns to an older revision.
package follower
