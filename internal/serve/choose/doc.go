// Package choose decides which backend server gets a request. It does no I/O
// and reads no clock.
package choose
