// Package calls lets operators list the non-idempotent calls with an unknown
// outcome and resolve them.
package calls
