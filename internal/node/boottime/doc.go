// Package boottime reads the clock CLOCK_BOOTTIME, which includes the time in
// which the VM was suspended.
package boottime
