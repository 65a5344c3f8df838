// Package choose selects the backend server for a request. It does no I/O and reads no clock.
package choose
