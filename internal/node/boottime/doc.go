// Package boottime reads the clock that also counts the time in which the VM
// was suspended.
package boottime
