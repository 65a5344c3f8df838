// Package keyring reloads a process's keys when their files change, and logs warnings
// before they expire.
package keyring
