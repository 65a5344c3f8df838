// Package reaper abandons the claims of dead entries, so that a resend gets an
// unknown outcome instead of being answered as busy indefinitely.
package reaper
