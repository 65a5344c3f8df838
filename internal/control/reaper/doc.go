// Package reaper abandons the claims of entries that have died, so that a
// resend learns that the outcome is unknown instead of waiting for ever.
package reaper
